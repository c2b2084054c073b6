"""OpenTelemetry metrics and traces, added by wrapping the daemon's listeners and clients.

Every hop has a server span at the listener and a client span at the client. The trace context is
kept in the `traceparent` header of the request, because several tasks of the daemon handle a call.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    InMemoryMetricReader,
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import Span, SpanKind, Tracer
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from agatecross_adapters.call_headers import SERVICE_HEADER
from agatecross_adapters.outcome_headers import OUTCOME_HEADER, REASON_HEADER
from agatecross_adapters.protocols import HttpClient, HttpListener, RequestHandler
from agatecross_core.admission.connection_budget import Place, ShedReason
from agatecross_core.calls.model import Headers, Request, Response
from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, DaemonId, DataCentreName, Millis

from .events import log_event
from .mailbox import monotonic_ms

TRACE_HEADERS = ("traceparent", "tracestate")
NANOSECONDS_PER_MILLISECOND = 1_000_000

CallCounts = Counter[tuple[str, str]]
"""Calls by listener and outcome."""

GaugeRow = tuple[float, dict[str, str]]
"""A value with its attributes."""


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Where telemetry is sent, and the share of calls that are traced.

    `sample_ratio` (0 to 1) applies to calls that arrive without a sampling decision. Spans are
    logged when `spans_to_log` is set. With an OTLP endpoint (base URL), spans and metrics are also
    exported there.
    """

    sample_ratio: float = 0.01
    spans_to_log: bool = False
    otlp_endpoint: str = ""


class LogSpanExporter(SpanExporter):
    """Logs one line for each span."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log the spans."""
        for span in spans:
            context = span.get_span_context()
            if context is None:
                continue
            duration_ms = (
                (span.end_time or 0) - (span.start_time or 0)
            ) / NANOSECONDS_PER_MILLISECOND
            log_event(
                "span",
                name=span.name,
                trace=f"{context.trace_id:032x}",
                span=f"{context.span_id:016x}",
                parent=f"{span.parent.span_id:016x}" if span.parent else "none",
                took_ms=duration_ms,
                **{key.replace(".", "_"): value for key, value in (span.attributes or {}).items()},
            )
        return SpanExportResult.SUCCESS


class Telemetry:
    """Trace and metric providers of one daemon, and wrappers that use them."""

    def __init__(
        self, settings: TelemetrySettings, daemon: DaemonId, data_centre: DataCentreName
    ) -> None:
        resource = Resource.create(
            {
                "service.name": "agatecrossd",
                "service.instance.id": daemon,
                "agatecross.data_centre": data_centre,
            }
        )
        self.head_sampler = HeadSampler(settings.sample_ratio, random.Random())
        self.metric_reader = InMemoryMetricReader()
        self.tracer_provider = _new_tracer_provider(settings, resource)
        readers: list[MetricReader] = [self.metric_reader]
        if settings.otlp_endpoint:
            exporter = OTLPMetricExporter(endpoint=f"{settings.otlp_endpoint}/v1/metrics")
            readers.append(PeriodicExportingMetricReader(exporter))
        self.meter_provider = MeterProvider(metric_readers=readers, resource=resource)
        self.tracer = self.tracer_provider.get_tracer("agatecross")
        self.meter = self.meter_provider.get_meter("agatecross")
        # Read only when metrics are collected: a synchronous counter would cost more per call.
        self.call_counts: CallCounts = Counter()
        self.meter.create_observable_counter(
            "agatecross.calls", [self._observe_calls], "{call}", "Calls by listener and outcome."
        )
        self.shed = self.meter.create_counter(
            "agatecross.connections.shed", "{connection}", "Connections or requests refused."
        )
        self.call_duration = self.meter.create_histogram(
            "agatecross.call.duration", unit="ms", description="Time from request to response."
        )

    def trace_listener(self, wrapped: HttpListener, name: str) -> "TracedListener":
        """Return the listener with spans and call metrics."""
        return TracedListener(
            wrapped, name, self.head_sampler, self.tracer, self.call_counts, self.call_duration
        )

    def trace_client(self, wrapped: HttpClient, name: str) -> "TracedClient":
        """Return the client with spans."""
        return TracedClient(wrapped, name, self.tracer)

    def add_counter(self, name: str, unit: str, description: str, read: Callable[[], int]) -> None:
        """Add a counter whose value is read when metrics are collected."""

        def read_counter(options: CallbackOptions) -> Iterable[Observation]:
            del options
            yield Observation(read())

        self.meter.create_observable_counter(name, [read_counter], unit, description)

    def add_gauge(
        self, name: str, unit: str, description: str, read: Callable[[], Iterable[GaugeRow]]
    ) -> None:
        """Add a gauge whose rows are read when metrics are collected."""

        def read_gauge(options: CallbackOptions) -> Iterable[Observation]:
            del options
            return [Observation(value, attributes) for value, attributes in read()]

        self.meter.create_observable_gauge(name, [read_gauge], unit, description)

    def count_shed(self, place: Place, reason: ShedReason) -> None:
        """Count a connection or request that was refused or closed."""
        self.shed.add(1, {"at": place.value, "reason": reason.value})

    def _observe_calls(self, options: CallbackOptions) -> Iterable[Observation]:
        del options
        for (listener, outcome), count in self.call_counts.items():
            yield Observation(count, {"listener": listener, "outcome": outcome})

    def collect(self) -> bytes:
        """Return the current metrics as OpenTelemetry JSON."""
        data = self.metric_reader.get_metrics_data()
        return data.to_json().encode() if data else b"{}"

    def shut_down(self) -> None:
        """Export what is still buffered and shut the providers down."""
        self.tracer_provider.shutdown()
        self.meter_provider.shutdown()


def _new_tracer_provider(settings: TelemetrySettings, resource: Resource) -> TracerProvider:
    provider = TracerProvider(sampler=ALWAYS_ON, resource=resource)
    if settings.spans_to_log:
        provider.add_span_processor(SimpleSpanProcessor(LogSpanExporter()))
    if settings.otlp_endpoint:
        exporter = OTLPSpanExporter(endpoint=f"{settings.otlp_endpoint}/v1/traces")
        provider.add_span_processor(BatchSpanProcessor(exporter))
    return provider


PROPAGATOR = TraceContextTextMapPropagator()


def parent_context(headers: Headers) -> Context:
    """Return the trace context that a request carries."""
    carrier = {name.lower(): value for name, value in headers if name.lower() in TRACE_HEADERS}
    return PROPAGATOR.extract(carrier)


def with_trace_context(request: Request, span: Span) -> Request:
    """Return the request with the span as its trace context, replacing any other."""
    context = span.get_span_context()
    other_headers = tuple(row for row in request.headers if row[0].lower() != "traceparent")
    value = f"00-{context.trace_id:032x}-{context.span_id:016x}-{int(context.trace_flags):02x}"
    return replace(request, headers=(*other_headers, ("traceparent", value)))


class HeadSampler:
    """Decides which calls are traced, before any span exists.

    A span that is not sampled still costs tens of microseconds, so such calls carry only the
    decision: a `traceparent` without the sampled flag, which every later hop follows.
    """

    def __init__(self, ratio: float, rng: random.Random) -> None:
        self.ratio = ratio
        self.rng = rng

    def with_sampling_decision(self, request: Request) -> Request:
        """Return the request with a sampling decision; an existing one is kept."""
        if request.header("traceparent") is not None:
            return request
        flags = int(self.rng.random() < self.ratio)
        trace, span = self.rng.getrandbits(128) or 1, self.rng.getrandbits(64) or 1
        value = f"00-{trace:032x}-{span:016x}-{flags:02x}"
        return replace(request, headers=(*request.headers, ("traceparent", value)))


def is_sampled(request: Request) -> bool:
    """Return whether the request is to be traced, by the lowest bit of the trace flags."""
    flags = (request.header("traceparent") or "").rpartition("-")[2]
    return bool(flags) and flags[-1] in "13579bdf"


class TracedListener:
    """Adds a server span and the call metrics to each request of a listener."""

    def __init__(
        self,
        wrapped: HttpListener,
        name: str,
        head_sampler: HeadSampler,
        tracer: Tracer,
        call_counts: CallCounts,
        call_duration: Histogram,
    ) -> None:
        self.wrapped = wrapped
        self.head_sampler = head_sampler
        self.name = name
        self.tracer = tracer
        self.call_counts = call_counts
        self.call_duration = call_duration

    def listen(self, address: Address, handler: RequestHandler) -> Address:
        """Start serving and return the bound address."""

        async def traced_handler(request: Request) -> Response:
            return await self._handle_with_metrics(request, handler)

        return self.wrapped.listen(address, traced_handler)

    async def _handle_with_metrics(self, request: Request, handler: RequestHandler) -> Response:
        started_at = monotonic_ms()
        outcome = "cancelled"
        try:
            response = await self._handle_with_span(request, handler)
            outcome = response.header(OUTCOME_HEADER) or "none"
            return response
        finally:
            attributes = {"listener": self.name, "outcome": outcome}
            self.call_counts[self.name, outcome] += 1
            self.call_duration.record(monotonic_ms() - started_at, attributes)

    async def _handle_with_span(self, request: Request, handler: RequestHandler) -> Response:
        request = self.head_sampler.with_sampling_decision(request)
        if not is_sampled(request):
            return await handler(request)
        parent = parent_context(request.headers)
        span = self.tracer.start_span(f"serve {self.name}", parent, SpanKind.SERVER)
        try:
            response = await handler(with_trace_context(request, span))
            _set_call_attributes(span, request, response)
            return response
        finally:
            span.end()

    def close_after_responses(self) -> None:
        """Close each connection with its next response; new connections are still accepted."""
        self.wrapped.close_after_responses()

    async def close(self) -> None:
        """Answer every request that has started to arrive, and close every connection."""
        await self.wrapped.close()


def _set_call_attributes(span: Span, request: Request, response: Response) -> None:
    span.set_attribute("http.request.method", request.method)
    span.set_attribute("url.path", request.path.split("?", 1)[0])
    span.set_attribute("http.response.status_code", response.status)
    for key, name in (("outcome", OUTCOME_HEADER), ("reason", REASON_HEADER)):
        value = response.header(name)
        if value:
            span.set_attribute(f"agatecross.{key}", value)
    service = request.header(SERVICE_HEADER)
    if service:
        span.set_attribute("agatecross.service", service)


class TracedClient:
    """Adds a client span to each request of a client."""

    def __init__(self, wrapped: HttpClient, name: str, tracer: Tracer) -> None:
        self.wrapped = wrapped
        self.name = name
        self.tracer = tracer

    async def send(self, address: Address, request: Request, timeout: Millis) -> Response:
        """Send a request and return the whole response; raises a subclass of `ExchangeError`."""
        if not is_sampled(request):
            return await self.wrapped.send(address, request, timeout)
        parent = parent_context(request.headers)
        span = self.tracer.start_span(f"send to {self.name}", parent, SpanKind.CLIENT)
        try:
            response = await self.wrapped.send(address, with_trace_context(request, span), timeout)
            span.set_attribute("server.address", address)
            span.set_attribute("http.response.status_code", response.status)
            return response
        except ExchangeError as error:
            span.record_exception(error)
            raise
        finally:
            span.end()
