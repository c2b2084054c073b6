"""Detects from the eras that the store's answers name that it came back from an older copy."""

from enum import Enum

from ..ids import StoreEra


class EraChange(Enum):
    """What the era of an answer says about the store.

    - `NONE`: the store is the one known so far, or it names no era.
    - `FIRST`: the era is the first one known.
    - `RESTORED`: the store came back from an older copy, or is another store.
    - `OUTDATED`: the answer is from before the store came back.
    """

    NONE = "none"
    FIRST = "first"
    RESTORED = "restored"
    OUTDATED = "outdated"


class EraTracker:
    """Keeps the present era of the store."""

    def __init__(self) -> None:
        """Start before the first answer."""
        self.era: StoreEra | None = None

    def observe(self, era: StoreEra | None, known_when_asked: StoreEra | None) -> EraChange:
        """Compare the era that an answer names with the known one, and keep the present one.

        `known_when_asked` is the era that was known when the call was made. A lower era is only
        outdated if the call was made before the present one was known.
        """
        known = self.era
        if era is None or era == known:
            return EraChange.NONE
        if known is not None and era < known and known_when_asked != known:
            return EraChange.OUTDATED
        self.era = era
        return EraChange.FIRST if known is None else EraChange.RESTORED
