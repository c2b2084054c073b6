"""Last filter of the pipeline: compiles checked sites; also runs the whole pipeline."""

import hashlib
from collections.abc import Iterable, Iterator, Mapping

from ..constants import NO_VERSION, RULE_SET_VERSION, RULE_SET_WITHOUT_LIMITS
from ..customers.model import Customer
from ..findings import Finding, sort_findings, split_findings
from ..ids import CustomerName, DataCentreName, Digest, RegionName, RouteName, ServiceName, Version
from .check_sites import check_sites
from .documents import Document, DocumentDecoder
from .merge_overlays import merge_overlays
from .model import MergedSite, MeshConfig, Route, ServicePolicy, SiteConfig
from .parse_documents import parse_documents


def compile_documents(
    documents: Iterable[Document],
    decoder: DocumentDecoder,
    version: Version,
    rules: int = RULE_SET_VERSION,
) -> tuple[MeshConfig | None, tuple[Finding, ...]]:
    """Run the whole pipeline; the compiled configuration is None if there are findings.

    Readers that know only an earlier rule set must reach the same verdict, so `rules` is the one
    under which the documents were published.
    """
    documents = tuple(documents)
    sites, findings = split_findings(
        check_sites(merge_overlays(parse_documents(documents, decoder)), rules)
    )
    if findings:
        return None, tuple(sort_findings(findings))
    compiled = {site.data_centre: _compile_site(site) for site in sites}
    return MeshConfig(version, digest_of(documents), compiled), ()


def lowest_rules(documents: Iterable[Document], decoder: DocumentDecoder) -> int:
    """Return the rule set to publish valid documents under.

    Daemons of an earlier release go on reading as long as no limit of a customer is used.
    """
    _, findings = compile_documents(documents, decoder, NO_VERSION, RULE_SET_WITHOUT_LIMITS)
    return RULE_SET_VERSION if findings else RULE_SET_WITHOUT_LIMITS


def digest_of(documents: Iterable[Document]) -> Digest:
    """Return the digest of a set of documents, independent of their order."""
    digest = hashlib.blake2b(digest_size=16)
    for document in sorted(documents, key=lambda d: d.name):
        for part in (document.name.encode(), document.text.encode()):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
    return Digest(digest.hexdigest())


def _compile_site(site: MergedSite) -> SiteConfig:
    services = _table_of(site, "services")
    policies = {ServiceName(name): _compile_service(name, row) for name, row in services.items()}
    rows = _table_of(site, "routes").items()
    routes = [_compile_route(name, row) for name, row in rows if row.get("enabled", True)]
    routes.sort(key=lambda route: (not route.host, -len(route.prefix), route.name))
    region = _region_of(site, site.data_centre)
    return SiteConfig(site.data_centre, region, policies, tuple(routes), tuple(_customers(site)))


def _customers(site: MergedSite) -> Iterator[tuple[Customer, tuple[str, ...]]]:
    if "customers" not in site.values:
        return
    for name, row in _table_of(site, "customers").items():
        keys = row["keys"]
        assert isinstance(keys, list)
        yield _compile_customer(name, row), tuple(keys)


def _compile_customer(name: str, row: Mapping[str, object]) -> Customer:
    """Return a customer; without a burst it is the calls of one second."""
    rate = row.get("rate_per_second", 0.0)
    burst = row.get("burst", rate)
    assert isinstance(rate, int | float)
    assert isinstance(burst, int | float)
    return Customer(CustomerName(name), rate=float(rate), burst=float(burst))


def _table_of(site: MergedSite, table: str) -> Mapping[str, dict[str, object]]:
    rows = site.values[table]
    assert isinstance(rows, dict)
    return rows


def _region_of(site: MergedSite, data_centre: DataCentreName) -> RegionName:
    for name, region in _table_of(site, "regions").items():
        names = region["data_centres"]
        if isinstance(names, list) and data_centre in names:
            return RegionName(name)
    raise AssertionError(f"data centre {data_centre!r} is not listed in any region")


def _compile_service(name: str, row: Mapping[str, object]) -> ServicePolicy:
    values = {key: tuple(value) if isinstance(value, list) else value for key, value in row.items()}
    return ServicePolicy(ServiceName(name), **values)  # type: ignore[arg-type]


def _compile_route(name: str, row: Mapping[str, object]) -> Route:
    return Route(
        RouteName(name),
        str(row["prefix"]),
        ServiceName(str(row["service"])),
        str(row.get("host", "")),
        row.get("allow_anonymous", False) is True,
    )
