"""The deterministic fold of config stream records into a state."""

from dataclasses import replace

from ..constants import MAX_SEEN_PUBLISH_IDS, NO_OFFSET, RULE_SET_VERSION
from ..ids import Version
from ..states import PublishVerdict
from .compile import compile_documents, digest_of
from .documents import Document, DocumentDecoder
from .model import ConfigRecord, ConfigState, FoldStep, OffsetRecord, PublishRecord, SnapshotRecord


def fold_entry(state: ConfigState, entry: OffsetRecord, decoder: DocumentDecoder) -> FoldStep:
    """Fold the record after `state.through`; a record with an unknown rule set is not passed."""
    if entry.record is None:
        step = FoldStep(state, PublishVerdict.UNDECODABLE)
    else:
        step = fold(state, entry.record, decoder)
    if step.verdict is PublishVerdict.UNKNOWN_RULES:
        return step
    return replace(step, state=replace(step.state, through=entry.offset, mark=entry.mark))


def fold(state: ConfigState, record: ConfigRecord, decoder: DocumentDecoder) -> FoldStep:
    """Fold one record into the state; the result depends only on the arguments."""
    if record.rules > RULE_SET_VERSION:
        return FoldStep(state, PublishVerdict.UNKNOWN_RULES)
    if isinstance(record, SnapshotRecord):
        return _fold_snapshot(state, record, decoder)
    return _fold_publish(state, record, decoder)


def start_from_snapshot(entry: OffsetRecord, decoder: DocumentDecoder) -> FoldStep:
    """Return the state in a snapshot record, for a reader that lacks the records before it."""
    record = entry.record
    if not isinstance(record, SnapshotRecord):
        return FoldStep(ConfigState(), PublishVerdict.DUPLICATE)
    if record.through == NO_OFFSET:
        return fold_entry(ConfigState(), entry, decoder)
    if record.rules > RULE_SET_VERSION:
        return FoldStep(ConfigState(), PublishVerdict.UNKNOWN_RULES)
    step = _adopt_snapshot(ConfigState(), record, decoder)
    return replace(step, state=replace(step.state, through=record.through, mark=record.mark))


def merge_documents(documents: tuple[Document, ...], record: PublishRecord) -> tuple[Document, ...]:
    """Return the documents after a publish, sorted by name."""
    by_name = {document.name: document for document in documents}
    by_name.update({document.name: document for document in record.documents})
    for name in record.removed:
        by_name.pop(name, None)
    return tuple(sorted(by_name.values(), key=lambda document: document.name))


def _fold_publish(state: ConfigState, record: PublishRecord, decoder: DocumentDecoder) -> FoldStep:
    if record.publish_id in state.seen:
        return FoldStep(state, PublishVerdict.DUPLICATE)
    seen = (*state.seen, record.publish_id)[-MAX_SEEN_PUBLISH_IDS:]
    refused = replace(state, seen=seen)
    if record.parent != state.version:
        return FoldStep(refused, PublishVerdict.CONFLICT)
    documents = merge_documents(state.documents, record)
    mesh_config, findings = compile_documents(
        documents, decoder, Version(state.version + 1), record.rules
    )
    if mesh_config is None:
        return FoldStep(refused, PublishVerdict.REJECTED, findings)
    accepted = replace(
        refused,
        version=mesh_config.version,
        digest=mesh_config.digest,
        documents=documents,
        rules=record.rules,
    )
    return FoldStep(accepted, PublishVerdict.ACCEPTED, (), mesh_config)


def _fold_snapshot(
    state: ConfigState, record: SnapshotRecord, decoder: DocumentDecoder
) -> FoldStep:
    if record.through != NO_OFFSET:
        return FoldStep(state, PublishVerdict.DUPLICATE)
    # This record restarts the fold. Readers that lack the earlier records start from it. Readers
    # that have them must reach the same state, even if it is older than the state that they folded.
    return _adopt_snapshot(state, record, decoder)


def _adopt_snapshot(
    state: ConfigState, record: SnapshotRecord, decoder: DocumentDecoder
) -> FoldStep:
    if not record.version:
        return FoldStep(ConfigState(seen=record.seen), PublishVerdict.ACCEPTED)
    if digest_of(record.documents) != record.digest:
        return FoldStep(state, PublishVerdict.REJECTED)
    mesh_config, findings = compile_documents(
        record.documents, decoder, record.version, record.rules
    )
    if mesh_config is None:
        return FoldStep(state, PublishVerdict.REJECTED, findings)
    adopted = ConfigState(
        record.version, record.digest, record.documents, record.seen, record.rules
    )
    return FoldStep(adopted, PublishVerdict.ACCEPTED, (), mesh_config)
