"""Second filter of the pipeline: merges base and overlays into a site per data centre."""

from collections.abc import Iterable, Iterator, Mapping

from ..constants import MAX_OVERLAYS
from ..findings import Finding, Place
from ..ids import DataCentreName
from .documents import BASE, DecodedDocument, KeyPath
from .model import MergedSite

OVERLAY_TABLES = ("services", "routes")
"""Tables that an overlay may change; all sites share the list of regions."""

MAX_TABLE_DEPTH = 4
"""Deeper tables hold only unknown keys, and recursion into them could overflow the stack."""


def merge_overlays(
    items: Iterable[DecodedDocument | Finding],
) -> Iterator[MergedSite | Finding]:
    """Yield one site per data centre, with its overlay applied to the base, and all findings."""
    documents: dict[str, DecodedDocument] = {}
    for item in items:
        if isinstance(item, Finding):
            yield item
        else:
            documents[item.name] = item
    base = documents.pop(BASE, None)
    if base is None:
        yield Finding(
            Place(BASE, 0, ""), "no-base", "the base document is missing or cannot be decoded"
        )
        return
    if len(documents) > MAX_OVERLAYS:
        message = f"there are more than {MAX_OVERLAYS} overlays"
        yield Finding(Place(BASE, 0, ""), "too-many-overlays", message)
        return
    yield from _check_overlay_names(base, documents)
    names = list(data_centres(base.values))
    yield from _check_data_centres(base, names)
    # Without data centres there would be no site, and the rest of the base would go unchecked.
    for name in dict.fromkeys(names or [""]):
        yield _merge_site(DataCentreName(name), base, documents.get(name))


def data_centres(values: Mapping[str, object]) -> Iterator[str]:
    """Yield the data centres that a base document lists under its regions."""
    yield from (name for _, name in region_data_centre_pairs(values))


def region_data_centre_pairs(values: Mapping[str, object]) -> Iterator[tuple[str, str]]:
    """Yield a pair of names for each data centre: its region and itself."""
    regions = values.get("regions")
    if not isinstance(regions, Mapping):
        return
    for region_name, region in regions.items():
        names = region.get("data_centres") if isinstance(region, Mapping) else None
        if isinstance(names, list):
            yield from ((region_name, name) for name in names if isinstance(name, str))


def _check_data_centres(base: DecodedDocument, names: list[str]) -> Iterator[Finding]:
    if not names:
        message = "no region lists a data centre"
        yield Finding(base.place(("regions",)), "no-data-centre", message)
        return
    listed: set[str] = set()
    for region, name in region_data_centre_pairs(base.values):
        if name in listed:
            place = base.place(("regions", region, "data_centres"))
            message = f"data centre {name!r} is listed more than once"
            yield Finding(place, "same-data-centre", message)
        listed.add(name)


def _check_overlay_names(
    base: DecodedDocument, overlays: Mapping[str, DecodedDocument]
) -> Iterator[Finding]:
    known = set(data_centres(base.values))
    for name, overlay in overlays.items():
        if name not in known:
            message = f"no region of the base lists data centre {name!r}"
            yield Finding(Place(overlay.name, 0, ""), "unknown-data-centre", message)
        for key in overlay.values:
            if key not in OVERLAY_TABLES:
                message = f"an overlay may only change {' and '.join(OVERLAY_TABLES)}"
                yield Finding(overlay.place((key,)), "not-in-overlay", message)


def _merge_site(
    name: DataCentreName, base: DecodedDocument, overlay: DecodedDocument | None
) -> MergedSite:
    values: dict[str, object] = {}
    places: dict[KeyPath, Place] = {}
    _apply_values(values, places, base, base.values, ())
    if overlay is not None:
        changes = {key: overlay.values[key] for key in OVERLAY_TABLES if key in overlay.values}
        _apply_values(values, places, overlay, changes, ())
    return MergedSite(name, values, places)


def _apply_values(
    target: dict[str, object],
    places: dict[KeyPath, Place],
    document: DecodedDocument,
    changes: Mapping[str, object],
    path: KeyPath,
) -> None:
    for key, value in changes.items():
        key_path = (*path, key)
        if not isinstance(value, Mapping) or len(key_path) > MAX_TABLE_DEPTH:
            target[key] = value
            places[key_path] = document.place(key_path)
            continue
        old = target.get(key)
        table = old if isinstance(old, dict) else {}
        target[key] = table
        places.setdefault(key_path, document.place(key_path))
        _apply_values(table, places, document, value, key_path)
