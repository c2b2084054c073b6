"""Settings that bound what clients hold, and the report of what was refused or closed for them."""

import resource
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from agatecross_adapters.connection_guard import ConnectionGuard, new_guard
from agatecross_core.admission.connection_budget import Place, ShedReason
from agatecross_core.config.schema import Key
from agatecross_core.constants import (
    DEFAULT_CONTROL_REQUEST_BYTES,
    DEFAULT_DESCRIPTORS,
    DEFAULT_READING_BYTES,
    KIB,
    MIB,
    READING_SHARE,
)
from agatecross_core.ids import Millis

from .mailbox import monotonic_ms

LIMITS_KEYS: Mapping[str, Key] = {
    "memory_mb": Key(float, low=16, high=1_000_000),
    "descriptors": Key(int, low=32, high=1_000_000),
}
FLEET_LIMITS_KEYS: Mapping[str, Key] = {
    **LIMITS_KEYS,
    "control_request_kb": Key(int, low=64, high=32_768),
}
REPORT_INTERVAL = Millis(1_000)


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bytes that all clients' connections may hold, and the descriptors of the process.

    `control_request_bytes` is the largest control request of another daemon.
    """

    reading_bytes: int = DEFAULT_READING_BYTES
    descriptors: int = DEFAULT_DESCRIPTORS
    control_request_bytes: int = DEFAULT_CONTROL_REQUEST_BYTES


def client_limits(values: Mapping[str, Any]) -> ClientLimits:
    """Return the limits of a checked table; descriptors are at most what the kernel allows."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = DEFAULT_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft
    descriptors = min(int(values.get("descriptors", DEFAULT_DESCRIPTORS)), allowed)
    memory_mb = values.get("memory_mb")
    reading = DEFAULT_READING_BYTES if memory_mb is None else int(memory_mb * MIB * READING_SHARE)
    control_kb = values.get("control_request_kb")
    control = DEFAULT_CONTROL_REQUEST_BYTES if control_kb is None else control_kb * KIB
    return ClientLimits(reading, descriptors, control)


class EventWriter(Protocol):
    """Writes one line of the log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write an event with its fields."""
        ...


class ShedReporter:
    """Counts the connections that were shed; logs the first of each second, with their number."""

    def __init__(
        self,
        count: Callable[[Place, ShedReason], None],
        write: EventWriter,
    ) -> None:
        self.count = count
        self.write = write
        self.unreported: dict[tuple[Place, ShedReason], int] = {}
        self.written_at: dict[tuple[Place, ShedReason], Millis] = {}

    def report(self, place: Place, reason: ShedReason) -> None:
        """Count one connection or request, and log it unless a line was written lately."""
        self.count(place, reason)
        key = (place, reason)
        number = self.unreported.get(key, 0) + 1
        now = monotonic_ms()
        if key in self.written_at and now - self.written_at[key] < REPORT_INTERVAL:
            self.unreported[key] = number
            return
        self.unreported[key], self.written_at[key] = 0, now
        self.write("connections_shed", at=place.value, reason=reason.value, count=number)


def build_guard(
    limits: ClientLimits, count: Callable[[Place, ShedReason], None], write: EventWriter
) -> ConnectionGuard:
    """Return the guard that all listeners of the daemon share; it counts and logs what it sheds."""
    reporter = ShedReporter(count, write)
    return new_guard(limits.reading_bytes, limits.descriptors, reporter.report)
