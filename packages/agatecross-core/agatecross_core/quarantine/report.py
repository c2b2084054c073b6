"""What daemons tell each other about requests that crash upstreams."""

from dataclasses import dataclass

from ..ids import Fingerprint
from ..members.records import Clearance, Strike


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Strikes from a death, requests whose trial ended in a death, and strikes that were lifted."""

    strikes: tuple[Strike, ...] = ()
    condemned: tuple[Fingerprint, ...] = ()
    clearances: tuple[Clearance, ...] = ()

    def __bool__(self) -> bool:
        """Return whether there is anything to tell."""
        return bool(self.strikes or self.condemned or self.clearances)
