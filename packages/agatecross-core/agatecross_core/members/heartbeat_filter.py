"""Which heartbeats of the upstream next to this daemon are believed."""

from dataclasses import dataclass

from ..ids import InstanceId, Millis, ServiceName
from ..states import UpstreamState


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an upstream says of itself.

    `born` is its start in Unix milliseconds; `sequence` grows with each heartbeat of one start;
    `cold` is how long it is still slow, in milliseconds.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    state: UpstreamState
    slots: int
    cold: Millis
    born: int
    sequence: int

    @property
    def order(self) -> tuple[int, int]:
        """Return the order of heartbeats at one address."""
        return (self.born, self.sequence)


class HeartbeatFilter:
    """Holds the newest heartbeat of the one upstream that this daemon stands next to."""

    def __init__(self, service: ServiceName, address: str) -> None:
        """Expect the upstream of `service` at `address`."""
        self.service = service
        self.address = address
        self.current: Heartbeat | None = None
        self.received_at = Millis(0)
        self.leaving_starts: set[tuple[InstanceId, int]] = set()

    def accept(self, beat: Heartbeat, now: Millis) -> bool:
        """Return whether the heartbeat is believed: of this upstream, and newer than the last."""
        if beat.service != self.service or beat.address != self.address:
            return False
        if self.current is not None and beat.order <= self.current.order:
            return False
        if beat.state is UpstreamState.READY and (beat.instance, beat.born) in self.leaving_starts:
            return False
        if beat.state is UpstreamState.DRAINING:
            self.leaving_starts.add((beat.instance, beat.born))
        self.current = beat
        self.received_at = now
        return True

    def leave(self, instance: InstanceId, born: int | None) -> tuple[InstanceId, int] | None:
        """Note that an instance leaves; return its start if it is what stands at the address now.

        Without a start time, the leave belongs to the current start of that instance. An upstream
        may leave before its first heartbeat came; its start tells that it is the newer one.
        """
        current = self.current
        if born is None:
            if current is None or current.instance != instance:
                return None
            born = current.born
        newest = max((row for _, row in self.leaving_starts), default=born)
        self.leaving_starts.add((instance, born))
        if born < (newest if current is None else current.born):
            return None
        return (instance, born)
