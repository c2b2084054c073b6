"""Messages and decisions for pulling configuration from peers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..config.compile import digest_of
from ..config.model import ConfigState, Document
from ..ids import Digest, DocumentName, PublishId, Version
from ..members.records import Member


@dataclass(frozen=True, slots=True)
class VersionNotice:
    """Tells a peer the version in force at the sender."""

    sender: Member
    version: Version
    digest: Digest


@dataclass(frozen=True, slots=True)
class NoticeAck:
    """Answer to a notice, with the version in force at the receiver."""

    version: Version
    digest: Digest


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Asks for the documents that differ from those whose digests are given."""

    version: Version
    known: Mapping[DocumentName, Digest]


@dataclass(frozen=True, slots=True)
class PullReply:
    """The changed documents and the names of all documents of `version`."""

    version: Version
    digest: Digest
    names: tuple[DocumentName, ...]
    changed: tuple[Document, ...]
    seen: tuple[PublishId, ...]


def known_digests(state: ConfigState) -> dict[DocumentName, Digest]:
    """Return the digest of each document that this daemon has."""
    return {document.name: digest_of([document]) for document in state.documents}


def answer_pull(state: ConfigState, request: PullRequest) -> PullReply:
    """Return what the requester lacks."""
    mine = known_digests(state)
    changed = tuple(d for d in state.documents if request.known.get(d.name) != mine[d.name])
    names = tuple(document.name for document in state.documents)
    return PullReply(state.version, state.digest, names, changed, state.seen)


def apply_pull(state: ConfigState, reply: PullReply) -> ConfigState | None:
    """Return the peer's state, or None when it is not newer or its digest is wrong."""
    if reply.version <= state.version:
        return None
    documents = _assemble(state.documents, reply)
    if digest_of(documents) != reply.digest:
        return None
    return ConfigState(reply.version, reply.digest, documents, reply.seen)


def _assemble(documents: Iterable[Document], reply: PullReply) -> tuple[Document, ...]:
    by_name = {document.name: document for document in documents}
    by_name.update({document.name: document for document in reply.changed})
    return tuple(by_name[name] for name in reply.names if name in by_name)
