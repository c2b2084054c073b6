"""Messages and decisions for pulling configuration from peers."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from ..config.compile import compile_documents, digest_of
from ..config.documents import Document, DocumentDecoder
from ..config.model import ConfigState, MeshConfig
from ..constants import NO_DIGEST, NO_OFFSET, RULE_SET_VERSION
from ..findings import Finding
from ..ids import Digest, DocumentName, Offset, PublishId, Version
from ..members.records import Member


@dataclass(frozen=True, slots=True)
class VersionNotice:
    """Notifies a peer of the version in force at the sender."""

    sender: Member
    version: Version
    digest: Digest


@dataclass(frozen=True, slots=True)
class NoticeAck:
    """Answer to a version notice, with the version in force at the receiver."""

    version: Version
    digest: Digest


NO_PUBLISH = PublishId("")


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Asks for the documents that differ from those with the digests in `known`.

    `last_seen` is the newest publish id known to the sender; an empty one asks for all ids.
    """

    version: Version
    known: Mapping[DocumentName, Digest]
    last_seen: PublishId = NO_PUBLISH


@dataclass(frozen=True, slots=True)
class PullReply:
    """The changed documents, and the names of all documents of `version`.

    `through` and `mark` give the log position of the state, so that the receiver folds exactly the
    records after it. The ids in `seen` come after the last `kept_count` ids of the receiver,
    because all 4,096 ids would often be larger than a changed document. `seen_digest` covers both
    parts.
    """

    version: Version
    digest: Digest
    names: tuple[DocumentName, ...]
    changed: tuple[Document, ...]
    seen: tuple[PublishId, ...]
    kept_count: int
    seen_digest: Digest
    rules: int = RULE_SET_VERSION
    through: Offset = NO_OFFSET
    mark: Digest = NO_DIGEST


class PullVerdict(Enum):
    """Result of checking a pull reply.

    `CORRUPT` means that the documents do not match the digest of the reply, `SEEN_MISMATCH` that
    the publish ids do not match its `seen_digest`.
    """

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    OTHER_DIGEST = "other-digest"
    CORRUPT = "broken"
    SEEN_MISMATCH = "other-seen"
    UNKNOWN_RULES = "unknown-rules"
    FINDINGS = "findings"


@dataclass(frozen=True, slots=True)
class PullResult:
    """The verdict, the new state for `NEWER` and `SAME`, and `mesh_config` for `NEWER`."""

    verdict: PullVerdict
    state: ConfigState | None = None
    mesh_config: MeshConfig | None = None
    findings: tuple[Finding, ...] = ()


def known_digests(state: ConfigState) -> dict[DocumentName, Digest]:
    """Return the digest of each document of this state."""
    return {document.name: digest_of([document]) for document in state.documents}


def answer_pull(state: ConfigState, request: PullRequest) -> PullReply:
    """Return the documents and publish ids that the requester lacks."""
    own_digests = known_digests(state)
    changed = tuple(d for d in state.documents if request.known.get(d.name) != own_digests[d.name])
    names = tuple(document.name for document in state.documents)
    known = request.last_seen in state.seen
    kept_count = state.seen.index(request.last_seen) + 1 if known else 0
    return PullReply(
        state.version,
        state.digest,
        names,
        changed,
        state.seen[kept_count:],
        kept_count,
        digest_of_ids(state.seen),
        state.rules,
        state.through,
        state.mark,
    )


def check_pull_reply(state: ConfigState, reply: PullReply, decoder: DocumentDecoder) -> PullResult:
    """Check a reply against the current state; only complete and valid versions are accepted."""
    seen = _assemble_seen(state.seen, reply)
    if reply.version < state.version:
        return PullResult(PullVerdict.OLDER)
    if reply.version == state.version:
        if reply.digest != state.digest:
            return PullResult(PullVerdict.OTHER_DIGEST)
        if seen is None:
            return PullResult(PullVerdict.SEEN_MISMATCH)
        moved = replace(state, seen=seen, through=reply.through, mark=reply.mark)
        return PullResult(PullVerdict.SAME, moved)
    if reply.rules > RULE_SET_VERSION:
        return PullResult(PullVerdict.UNKNOWN_RULES)
    if seen is None:
        return PullResult(PullVerdict.SEEN_MISMATCH)
    documents = _assemble_documents(state.documents, reply)
    if digest_of(documents) != reply.digest:
        return PullResult(PullVerdict.CORRUPT)
    mesh_config, findings = compile_documents(documents, decoder, reply.version, reply.rules)
    if mesh_config is None:
        return PullResult(PullVerdict.FINDINGS, findings=findings)
    adopted = ConfigState(
        reply.version,
        reply.digest,
        documents,
        seen,
        reply.rules,
        reply.through,
        reply.mark,
    )
    return PullResult(PullVerdict.NEWER, adopted, mesh_config)


def digest_of_ids(ids: Iterable[PublishId]) -> Digest:
    """Return the digest of publish ids; it depends on their order."""
    return Digest(hashlib.blake2b("\n".join(ids).encode(), digest_size=16).hexdigest())


def new_request(state: ConfigState, all_seen: bool) -> PullRequest:
    """Return a request for what this state lacks; `all_seen` asks for all publish ids."""
    last = state.seen[-1] if state.seen and not all_seen else NO_PUBLISH
    return PullRequest(state.version, known_digests(state), last)


def _assemble_seen(own: tuple[PublishId, ...], reply: PullReply) -> tuple[PublishId, ...] | None:
    seen = (*own[len(own) - reply.kept_count :], *reply.seen) if reply.kept_count else reply.seen
    return seen if digest_of_ids(seen) == reply.seen_digest else None


def _assemble_documents(documents: Iterable[Document], reply: PullReply) -> tuple[Document, ...]:
    by_name = {document.name: document for document in documents}
    by_name.update({document.name: document for document in reply.changed})
    return tuple(by_name[name] for name in reply.names if name in by_name)
