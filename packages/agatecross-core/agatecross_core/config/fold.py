"""The deterministic fold over the config stream."""

from ..constants import MAX_SEEN_PUBLISH_IDS, RULE_SET
from ..ids import Version
from ..states import Verdict
from .compile import compile_documents, digest_of
from .model import (
    ConfigRecord,
    ConfigState,
    Document,
    DocumentDecoder,
    FoldStep,
    PublishRecord,
    SnapshotRecord,
)


def fold(state: ConfigState, record: ConfigRecord, decoder: DocumentDecoder) -> FoldStep:
    """Fold one record into the state; the result depends on nothing else."""
    if record.rules > RULE_SET:
        return FoldStep(state, Verdict.UNKNOWN_RULES)
    if isinstance(record, SnapshotRecord):
        return _fold_snapshot(state, record, decoder)
    return _fold_publish(state, record, decoder)


def _fold_publish(state: ConfigState, record: PublishRecord, decoder: DocumentDecoder) -> FoldStep:
    if record.publish_id in state.seen:
        return FoldStep(state, Verdict.DUPLICATE)
    seen = (*state.seen, record.publish_id)[-MAX_SEEN_PUBLISH_IDS:]
    refused = ConfigState(state.version, state.digest, state.documents, seen)
    if record.parent != state.version:
        return FoldStep(refused, Verdict.CONFLICT)
    documents = merge_documents(state.documents, record)
    snapshot, findings = compile_documents(documents, decoder, Version(state.version + 1))
    if snapshot is None:
        return FoldStep(refused, Verdict.REJECTED, findings)
    accepted = ConfigState(snapshot.version, snapshot.digest, documents, seen)
    return FoldStep(accepted, Verdict.ACCEPTED, (), snapshot)


def merge_documents(documents: tuple[Document, ...], record: PublishRecord) -> tuple[Document, ...]:
    """Return the documents after a publish, ordered by name."""
    by_name = {document.name: document for document in documents}
    by_name.update({document.name: document for document in record.documents})
    for name in record.removed:
        by_name.pop(name, None)
    return tuple(sorted(by_name.values(), key=lambda document: document.name))


def _fold_snapshot(
    state: ConfigState, record: SnapshotRecord, decoder: DocumentDecoder
) -> FoldStep:
    if record.version <= state.version:
        return FoldStep(state, Verdict.DUPLICATE)
    if digest_of(record.documents) != record.digest:
        return FoldStep(state, Verdict.REJECTED)
    snapshot, findings = compile_documents(record.documents, decoder, record.version)
    if snapshot is None:
        return FoldStep(state, Verdict.REJECTED, findings)
    taken = ConfigState(record.version, record.digest, record.documents, record.seen)
    return FoldStep(taken, Verdict.ACCEPTED, (), snapshot)
