"""Folds the config stream from the position of the current state, or from a snapshot."""

from collections.abc import Iterator
from dataclasses import dataclass

from ..config.documents import DocumentDecoder
from ..config.fold import fold_entry, start_from_snapshot
from ..config.model import ConfigState, FoldStep, OffsetRecord, SnapshotRecord
from ..constants import NO_ERA, NO_OFFSET
from ..ids import Offset, StoreEra
from ..states import PublishVerdict


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """A page of the config stream.

    `first` is the oldest retained offset, `end` the offset after the newest record. `era` rises
    whenever the log comes back from an older copy.
    """

    records: tuple[OffsetRecord, ...]
    first: Offset
    end: Offset
    era: StoreEra = NO_ERA


@dataclass(frozen=True, slots=True)
class RecordFolded:
    """A record was folded, or a snapshot was adopted as the start of the fold."""

    entry: OffsetRecord
    step: FoldStep


@dataclass(frozen=True, slots=True)
class LogReplaced:
    """The log is not the one read before.

    Its era is another one, its end is too low, or its last folded record differs.
    """

    through: Offset
    end: Offset


@dataclass(frozen=True, slots=True)
class RecordsExpired:
    """The log no longer has the records after `through`; `first` is its oldest offset."""

    through: Offset
    first: Offset


@dataclass(frozen=True, slots=True)
class UnknownRules:
    """The record needs a rule set that this daemon lacks; folding stops before the record."""

    offset: Offset
    rules: int


FoldEvent = RecordFolded | LogReplaced | RecordsExpired | UnknownRules


class LogFold:
    """Folds the pages of the config stream into a state.

    The state is equal for all readers at the same offset of one log. After records were lost, the
    fold searches from `search_from` for a snapshot that covers them.
    """

    def __init__(self, decoder: DocumentDecoder) -> None:
        """Start before the first record."""
        self.decoder = decoder
        self.state = ConfigState()
        self.era: StoreEra | None = None
        self.must_verify = False
        self.search_from: Offset | None = None
        self.blocked = False
        self.caught_up = False
        self.search_finished = False

    @property
    def position_lost(self) -> bool:
        """Return whether records are missing that no snapshot read so far covers."""
        return self.search_from is not None

    def start(self) -> Offset:
        """Return the offset at which the next read must start."""
        if self.search_from is not None:
            return self.search_from
        if self.must_verify and self.state.through != NO_OFFSET:
            return self.state.through
        return Offset(self.state.through + 1)

    def adopt_state(self, state: ConfigState) -> None:
        """Continue from the state and position of a peer."""
        self.state = state
        # The position may belong to a log that has been replaced since.
        self.must_verify = True
        self.search_from = None
        self.blocked = False
        self.caught_up = False

    def require_verification(self) -> None:
        """Check with the next page that the log is still the same, and restart any search."""
        self.must_verify = True
        self.search_from = None
        self.caught_up = False
        self.search_finished = False

    def page(self, page: RecordsRead) -> Iterator[FoldEvent]:
        """Fold a page that was read from `start()`."""
        self.caught_up = False
        self.blocked = False
        era, self.era = self.era, page.era
        # In another era, equal records may stand after other ones than before.
        if era not in (None, page.era) or self._is_replaced_by(page):
            yield LogReplaced(self.state.through, page.end)
            self.state = ConfigState()
            self.search_from = None
            self.must_verify = False
            return
        # Without the last folded record in the page, nothing shows that the log is still the same.
        expired = self.search_from is None and page.first > self.start()
        self.must_verify = False
        if expired:
            yield RecordsExpired(self.state.through, page.first)
            self.search_from = page.first
        if self.search_from is None:
            yield from self._fold_records(page)
        else:
            yield from self._search_snapshot(page)

    def _is_replaced_by(self, page: RecordsRead) -> bool:
        if page.end < self.start() or page.end <= self.state.through:
            return True
        if not self.must_verify or self.state.through == NO_OFFSET:
            return False
        for entry in page.records:
            if entry.offset == self.state.through:
                return entry.mark != self.state.mark
        return False

    def _fold_records(self, page: RecordsRead) -> Iterator[FoldEvent]:
        for entry in page.records:
            if entry.offset != self.state.through + 1:
                continue
            step = fold_entry(self.state, entry, self.decoder)
            if step.verdict is PublishVerdict.UNKNOWN_RULES and entry.record is not None:
                self.blocked = True
                yield UnknownRules(entry.offset, entry.record.rules)
                return
            self.state = step.state
            yield RecordFolded(entry, step)
        self.caught_up = self.state.through + 1 >= page.end

    def _search_snapshot(self, page: RecordsRead) -> Iterator[FoldEvent]:
        self.search_finished = False
        for entry in page.records:
            self.search_from = Offset(entry.offset + 1)
            if not _is_usable_start(entry, page.first):
                continue
            step = start_from_snapshot(entry, self.decoder)
            if step.verdict is not PublishVerdict.ACCEPTED:
                continue
            self.state = step.state
            self.search_from = None
            yield RecordFolded(entry, step)
            return
        self.search_finished = self.start() >= page.end


def _is_usable_start(entry: OffsetRecord, first: Offset) -> bool:
    record = entry.record
    if not isinstance(record, SnapshotRecord):
        return False
    # A snapshot that stands at or before its own `through` was made for a log since replaced.
    restart = record.through == NO_OFFSET
    return restart or first - 1 <= record.through < entry.offset
