"""OpenTelemetry metrics and traces, put around the listeners and clients of the daemon.

Every hop has a server span at the listener and a client span at the client. The context travels in
the `traceparent` header of the request itself, because a call changes tasks inside the daemon.
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

from agatecross_adapters.call_headers import OUTCOME, REASON, SERVICE
from agatecross_adapters.protocols import HttpClient, HttpListener, RequestHandler
from agatecross_core.calls.model import Headers, Request, Response
from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, DaemonId, DataCentreName, Millis

from .events import log_event
from .mailbox import monotonic_ms

TRACE_HEADERS = ("traceparent", "tracestate")
NANOSECONDS_PER_MILLISECOND = 1_000_000

CallCounts = Counter[tuple[str, str]]
"""Calls by listener and outcome."""


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Where telemetry goes; `sample_ratio` from 0 to 1 for calls that bring no sampling decision.

    Spans go to the log when `spans_to_log` is set. With an OTLP endpoint (base URL), spans and
    metrics also go there.
    """

    sample_ratio: float = 0.01
    spans_to_log: bool = False
    otlp_endpoint: str = ""


class LogSpanExporter(SpanExporter):
    """Writes one log line for each span."""

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
    """Providers of one daemon, and the wrappers that use them."""

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
        # Counted here and only read at collection: a synchronous counter costs more for each call.
        self.call_counts: CallCounts = Counter()
        self.meter.create_observable_counter(
            "agatecross.calls", [self._observe_calls], "{call}", "Calls by listener and outcome."
        )
        self.call_duration = self.meter.create_histogram(
            "agatecross.call.duration", unit="ms", description="Time from request to response."
        )

    def listener(self, inner: HttpListener, name: str) -> "TracedListener":
        """Wrap a listener."""
        return TracedListener(
            inner, name, self.head_sampler, self.tracer, self.call_counts, self.call_duration
        )

    def client(self, inner: HttpClient, name: str) -> "TracedClient":
        """Wrap a client."""
        return TracedClient(inner, name, self.tracer)

    def add_counter(self, name: str, unit: str, description: str, read: Callable[[], int]) -> None:
        """Add a counter that is read when metrics are collected."""

        def read_counter(options: CallbackOptions) -> Iterable[Observation]:
            del options
            yield Observation(read())

        self.meter.create_observable_counter(name, [read_counter], unit, description)

    def _observe_calls(self, options: CallbackOptions) -> Iterable[Observation]:
        del options
        for (listener, outcome), count in self.call_counts.items():
            yield Observation(count, {"listener": listener, "outcome": outcome})

    def collect(self) -> bytes:
        """Return the current metrics as OpenTelemetry JSON."""
        data = self.metric_reader.get_metrics_data()
        return data.to_json().encode() if data else b"{}"

    def shut_down(self) -> None:
        """Flush what is not exported yet."""
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
    """Return the request with the span as its trace context."""
    context = span.get_span_context()
    kept = tuple(row for row in request.headers if row[0].lower() != "traceparent")
    value = f"00-{context.trace_id:032x}-{context.span_id:016x}-{int(context.trace_flags):02x}"
    return replace(request, headers=(*kept, ("traceparent", value)))


class HeadSampler:
    """Decides which calls are traced, before any span exists.

    A span that is not sampled still costs tens of microseconds, so such calls only carry the
    decision: a `traceparent` without the sampled flag, which every later hop follows.
    """

    def __init__(self, ratio: float, rng: random.Random) -> None:
        self.ratio = ratio
        self.rng = rng

    def with_sampling_decision(self, request: Request) -> Request:
        """Return the request with a sampling decision; one that it brings is kept."""
        if request.header("traceparent") is not None:
            return request
        flags = int(self.rng.random() < self.ratio)
        trace, span = self.rng.getrandbits(128) or 1, self.rng.getrandbits(64) or 1
        value = f"00-{trace:032x}-{span:016x}-{flags:02x}"
        return replace(request, headers=(*request.headers, ("traceparent", value)))


def is_sampled(request: Request) -> bool:
    """Return whether the request is to be traced: the lowest bit of the trace flags."""
    flags = (request.header("traceparent") or "").rpartition("-")[2]
    return bool(flags) and flags[-1] in "13579bdf"


class TracedListener:
    """Adds a server span and the call metrics to each request of a listener."""

    def __init__(
        self,
        inner: HttpListener,
        name: str,
        head_sampler: HeadSampler,
        tracer: Tracer,
        call_counts: CallCounts,
        call_duration: Histogram,
    ) -> None:
        self.inner = inner
        self.head_sampler = head_sampler
        self.name = name
        self.tracer = tracer
        self.call_counts = call_counts
        self.call_duration = call_duration

    def listen(self, address: Address, handler: RequestHandler) -> Address:
        """Start to serve and return the bound address."""

        async def traced(request: Request) -> Response:
            return await self._serve(request, handler)

        return self.inner.listen(address, traced)

    async def _serve(self, request: Request, handler: RequestHandler) -> Response:
        started = monotonic_ms()
        outcome = "cancelled"
        try:
            response = await self._trace(request, handler)
            outcome = response.header(OUTCOME) or "none"
            return response
        finally:
            attributes = {"listener": self.name, "outcome": outcome}
            self.call_counts[self.name, outcome] += 1
            self.call_duration.record(monotonic_ms() - started, attributes)

    async def _trace(self, request: Request, handler: RequestHandler) -> Response:
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

    def announce_close(self) -> None:
        """Close each connection with its next response; new connections are still accepted."""
        self.inner.announce_close()

    async def close(self) -> None:
        """Answer every request that has begun to arrive, and close every connection."""
        await self.inner.close()


def _set_call_attributes(span: Span, request: Request, response: Response) -> None:
    span.set_attribute("http.request.method", request.method)
    span.set_attribute("url.path", request.path.split("?", 1)[0])
    span.set_attribute("http.response.status_code", response.status)
    for key, name in (("outcome", OUTCOME), ("reason", REASON)):
        value = response.header(name)
        if value:
            span.set_attribute(f"agatecross.{key}", value)
    service = request.header(SERVICE)
    if service:
        span.set_attribute("agatecross.service", service)


class TracedClient:
    """Adds a client span to each request of a client."""

    def __init__(self, inner: HttpClient, name: str, tracer: Tracer) -> None:
        self.inner = inner
        self.name = name
        self.tracer = tracer

    async def send(self, address: Address, request: Request, timeout: Millis) -> Response:
        """Return the whole response; raises a subclass of `ExchangeError`."""
        if not is_sampled(request):
            return await self.inner.send(address, request, timeout)
        parent = parent_context(request.headers)
        span = self.tracer.start_span(f"send to {self.name}", parent, SpanKind.CLIENT)
        try:
            response = await self.inner.send(address, with_trace_context(request, span), timeout)
            span.set_attribute("server.address", address)
            span.set_attribute("http.response.status_code", response.status)
            return response
        except ExchangeError as error:
            span.record_exception(error)
            raise
        finally:
            span.end()
