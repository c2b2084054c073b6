"""Detects from the eras that the store's answers name that it came back from an older copy."""

from dataclasses import dataclass
from enum import Enum

from ..ids import StoreEra


class EraChange(Enum):
    """What the era of an answer says about the store.

    - `NONE`: the store is the one known so far, or it names no era.
    - `FIRST`: the era is the first one known.
    - `RESTORED`: the store came back from an older copy, or is another store.
    - `CONFIRMED`: the same, and a peer has reported this era before.
    - `OUTDATED`: the answer is from before the store came back.
    """

    NONE = "none"
    FIRST = "first"
    RESTORED = "restored"
    CONFIRMED = "confirmed"
    OUTDATED = "outdated"


@dataclass(frozen=True, slots=True)
class EraView:
    """The present era as far as it is known, and a later one that a peer reported."""

    era: StoreEra | None = None
    reported: StoreEra | None = None


class EraTracker:
    """Keeps the present era of the store, and the era that a peer reported until it is checked."""

    def __init__(self) -> None:
        """Start before the first answer."""
        self.view = EraView()

    def report(self, era: StoreEra) -> bool:
        """Record the era that a peer names; return whether it is later than those known here."""
        if era <= max(self.view.era or 0, self.view.reported or 0):
            return False
        self.view = EraView(self.view.era, era)
        return True

    def observe(self, era: StoreEra | None, asked: EraView) -> EraChange:
        """Compare the era that an answer names with the known one, and keep the present one.

        `asked` is the view when the call was made. A lower era is only outdated if the call was
        made before the present one was known. The answer to a call made after a report settles
        it: a wrong report would otherwise hide the later ones.
        """
        known, reported = self.view.era, self.view.reported
        if era is None:
            return EraChange.NONE
        if known is not None and era < known and asked.era != known:
            return EraChange.OUTDATED
        self.view = EraView(era, None if asked.reported == reported else reported)
        if era == known:
            return EraChange.NONE
        if known is None:
            return EraChange.FIRST
        return EraChange.CONFIRMED if era == reported else EraChange.RESTORED
