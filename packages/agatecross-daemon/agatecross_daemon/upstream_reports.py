"""Logs and counts what is wrong with the local upstream's requests and connections."""

from dataclasses import dataclass, field

from agatecross_core.ids import InstanceId, Millis
from agatecross_core.pacing import TokenBucket
from agatecross_core.states import UpstreamRequest

from .client_limits import EventWriter
from .mailbox import monotonic_ms
from .relay_metrics import RelayMetrics

# A heartbeat comes each second, so an upstream with one fault shows in the first lines.
BURST_LINES = 5
REFILL_INTERVAL = Millis(10_000)
# A decoder's message may quote what the upstream sent.
MAX_REASON_LENGTH = 200


@dataclass(slots=True)
class LimitedLine:
    """A line of the log at a limited rate; the next one tells how many were left out."""

    bucket: TokenBucket = field(default_factory=lambda: TokenBucket(BURST_LINES, REFILL_INTERVAL))
    left_out: int = 0

    def write(self, write: EventWriter, event: str, **fields: object) -> None:
        """Write the line, or count it as left out."""
        if not self.bucket.take(monotonic_ms()):
            self.left_out += 1
            return
        if self.left_out:
            fields["suppressed"], self.left_out = self.left_out, 0
        write(event, **fields)


class UpstreamReports:
    """Reports refused requests and silent connections of the local upstream."""

    def __init__(self, write: EventWriter, metrics: RelayMetrics) -> None:
        """Write lines with `write`."""
        self.write = write
        self.metrics = metrics
        self.refused_line = LimitedLine()
        self.silent_line = LimitedLine()

    def request_refused(self, request: UpstreamRequest, instance: InstanceId, reason: str) -> None:
        """Report a heartbeat or leave request that could not be decoded."""
        self.metrics.upstream_requests_refused.labels(request.value).inc()
        self.refused_line.write(
            self.write,
            "upstream_request_refused",
            request=request.value,
            instance=instance[:MAX_REASON_LENGTH],
            reason=reason[:MAX_REASON_LENGTH],
        )

    def connections_silent(self, instance: InstanceId | None, closed: int) -> None:
        """Report the idle connections that were closed after a run without a byte."""
        if not closed:
            return
        self.metrics.silent_connections.labels("upstream").inc(closed)
        self.silent_line.write(
            self.write, "upstream_silent", instance=instance or "", idle_closed=closed
        )
