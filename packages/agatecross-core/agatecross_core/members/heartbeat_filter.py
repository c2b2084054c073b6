"""Filter for the heartbeats of the upstream next to this daemon."""

from dataclasses import dataclass

from ..ids import InstanceId, Millis, ServiceName
from ..states import UpstreamState


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state that an upstream reports about itself.

    `born` is the start time of the upstream in Unix milliseconds, and `sequence` grows with each
    heartbeat after that start. `cold` is the remaining warm-up time in milliseconds, during which
    the upstream is slow.
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
    def start(self) -> tuple[InstanceId, int]:
        """Return the instance and the start time, which differ for each start of an upstream."""
        return (self.instance, self.born)

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key of the heartbeats that arrive from one address."""
        return (self.born, self.sequence)


class HeartbeatFilter:
    """Keeps the newest heartbeat of the upstream at one address and rejects outdated ones.

    `leaving_starts` holds instances that drain or leave, each with its start time.
    """

    def __init__(self, service: ServiceName, address: str) -> None:
        """Expect heartbeats from the upstream of `service` at `address`."""
        self.service = service
        self.address = address
        self.current: Heartbeat | None = None
        self.received_at = Millis(0)
        self.leaving_starts: set[tuple[InstanceId, int]] = set()

    def accept(self, beat: Heartbeat, now: Millis) -> bool:
        """Store the heartbeat and return True if it is from this upstream and newer than the last.

        Ready heartbeats of a start that is leaving are rejected.
        """
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
        """Record that an instance leaves; return its start if it is the newest at the address.

        Without a start time, the leave applies to the current start of that instance. An upstream
        may leave before its first heartbeat arrives; its start time then shows that it is newer
        than the current one.
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
