"""Finds the documents and lines that set the values of a route."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields

from ..findings import Finding, Place
from ..ids import DataCentreName
from .documents import Document, DocumentDecoder
from .merge_overlays import merge_overlays
from .model import MergedSite, Route, ServicePolicy
from .parse_documents import parse_documents


@dataclass(frozen=True, slots=True)
class ExplainedValue:
    """A value in force, and the place that set it, or None if it is the default."""

    key: str
    value: object
    place: Place | None


def merged_site(
    documents: Iterable[Document], decoder: DocumentDecoder, data_centre: DataCentreName
) -> MergedSite | None:
    """Return the merged documents of a data centre, or None if the base does not list it."""
    for item in merge_overlays(parse_documents(documents, decoder)):
        if not isinstance(item, Finding) and item.data_centre == data_centre:
            return item
    return None


def explain_route(
    site: MergedSite, route: Route, policy: ServicePolicy
) -> Iterator[ExplainedValue]:
    """Yield the values of a route and of its service, each with its place."""
    for key in ("prefix", "host", "service"):
        yield _explain(site, "routes", route.name, key, getattr(route, key))
    for field in fields(policy):
        if field.name != "name":
            value = getattr(policy, field.name)
            yield _explain(site, "services", policy.name, field.name, value)


def _explain(site: MergedSite, table: str, name: str, key: str, value: object) -> ExplainedValue:
    path = (table, name, key)
    return ExplainedValue(".".join(path), value, site.places.get(path))
