"""Messages and decisions for pulling configuration from peers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from ..config.compile import compile_documents, digest_of
from ..config.model import ConfigState, Document, DocumentDecoder, MeshSnapshot
from ..constants import NO_DIGEST, NO_OFFSET, RULE_SET
from ..findings import Finding
from ..ids import Digest, DocumentName, Offset, PublishId, Version
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
    """The changed documents and the names of all documents of `version`.

    `through` and `mark` tell the position of the log to which the state belongs, so that the
    receiver folds exactly the records after it.
    """

    version: Version
    digest: Digest
    names: tuple[DocumentName, ...]
    changed: tuple[Document, ...]
    seen: tuple[PublishId, ...]
    rules: int = RULE_SET
    through: Offset = NO_OFFSET
    mark: Digest = NO_DIGEST


class PullVerdict(Enum):
    """What the receiver makes of a pull reply."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    OTHER_DIGEST = "other-digest"
    BROKEN = "broken"
    UNKNOWN_RULES = "unknown-rules"
    FINDINGS = "findings"


@dataclass(frozen=True, slots=True)
class PullResult:
    """The verdict, and for `NEWER` and `SAME` the peer's state; `NEWER` is compiled."""

    verdict: PullVerdict
    state: ConfigState | None = None
    snapshot: MeshSnapshot | None = None
    findings: tuple[Finding, ...] = ()


def known_digests(state: ConfigState) -> dict[DocumentName, Digest]:
    """Return the digest of each document that this daemon has."""
    return {document.name: digest_of([document]) for document in state.documents}


def answer_pull(state: ConfigState, request: PullRequest) -> PullReply:
    """Return what the requester lacks."""
    mine = known_digests(state)
    changed = tuple(d for d in state.documents if request.known.get(d.name) != mine[d.name])
    names = tuple(document.name for document in state.documents)
    return PullReply(
        state.version,
        state.digest,
        names,
        changed,
        state.seen,
        state.rules,
        state.through,
        state.mark,
    )


def judge_pull(state: ConfigState, reply: PullReply, decoder: DocumentDecoder) -> PullResult:
    """Check a reply against the state in force; a version is only taken whole and checked."""
    if reply.version < state.version:
        return PullResult(PullVerdict.OLDER)
    if reply.version == state.version:
        if reply.digest != state.digest:
            return PullResult(PullVerdict.OTHER_DIGEST)
        moved = replace(state, seen=reply.seen, through=reply.through, mark=reply.mark)
        return PullResult(PullVerdict.SAME, moved)
    if reply.rules > RULE_SET:
        return PullResult(PullVerdict.UNKNOWN_RULES)
    documents = _assemble(state.documents, reply)
    if digest_of(documents) != reply.digest:
        return PullResult(PullVerdict.BROKEN)
    snapshot, findings = compile_documents(documents, decoder, reply.version)
    if snapshot is None:
        return PullResult(PullVerdict.FINDINGS, findings=findings)
    taken = ConfigState(
        reply.version,
        reply.digest,
        documents,
        reply.seen,
        reply.rules,
        reply.through,
        reply.mark,
    )
    return PullResult(PullVerdict.NEWER, taken, snapshot)


def _assemble(documents: Iterable[Document], reply: PullReply) -> tuple[Document, ...]:
    by_name = {document.name: document for document in documents}
    by_name.update({document.name: document for document in reply.changed})
    return tuple(by_name[name] for name in reply.names if name in by_name)
