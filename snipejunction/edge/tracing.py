"""OpenTelemetry spans with W3C trace context."""

from __future__ import annotations

import time
from typing import Any, Final

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

_HEADER: Final = 'traceparent'
_NANOSECONDS: Final = 1_000_000_000
_propagator: Final = TraceContextTextMapPropagator()


class OpenSpan:
    """A started span, or a no-op if it is not sampled."""

    __slots__ = ('_span', '_traceparent')

    def __init__(self, span: trace.Span | None, traceparent: str) -> None:
        """Create a handle; ``traceparent`` is propagated to the next hop."""
        self._span = span
        self._traceparent = traceparent

    @property
    def traceparent(self) -> str:
        """Return the trace context for the next hop, empty if not sampled."""
        return self._traceparent

    def end(self, **fields: Any) -> None:
        """Set the attributes of the span and end it."""
        if self._span is not None:
            self._span.set_attributes(fields)
            self._span.end()


_NO_SPAN: Final = OpenSpan(None, '')


class Tracing:
    """Samples root spans and exports the spans of one host.

    Monotonic timestamps of the systems are converted to wall time by an
    offset computed at creation; wall times are for display only.
    """

    __slots__ = ('_offset', '_provider', '_tracer')

    def __init__(
        self,
        host: str,
        sample_ratio: float,
        monotonic_now: float,
        exporter: SpanExporter | None = None,
        otlp_url: str | None = None,
    ) -> None:
        """Create tracing; without an exporter or URL it is disabled."""
        self._provider: TracerProvider | None = None
        self._tracer: trace.Tracer | None = None
        self._offset = time.time() - monotonic_now
        if exporter is None and otlp_url is None:
            return
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(sample_ratio)),
            resource=Resource.create(
                {'service.name': 'snipejunction', 'host.name': host},
            ),
            shutdown_on_exit=False,
        )
        if exporter is None:
            batch = BatchSpanProcessor(OTLPSpanExporter(endpoint=otlp_url))
            provider.add_span_processor(batch)
        else:
            provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._provider = provider
        self._tracer = provider.get_tracer('snipejunction')

    @property
    def is_enabled(self) -> bool:
        """Return whether spans are recorded and exported."""
        return self._tracer is not None

    def start_span(self, name: str, traceparent: str) -> OpenSpan:
        """Start a span, sampled like its parent, by ratio without one."""
        if self._tracer is None:
            return _NO_SPAN
        context = _propagator.extract({_HEADER: traceparent})
        span = self._tracer.start_span(name, context=context)
        if not span.is_recording():
            return _NO_SPAN
        carrier: dict[str, str] = {}
        _propagator.inject(carrier, trace.set_span_in_context(span))
        return OpenSpan(span, carrier[_HEADER])

    def start_child_span(self, name: str, traceparent: str) -> OpenSpan:
        """Start a span only if there is a sampled parent."""
        if not traceparent or self._tracer is None:
            return OpenSpan(None, traceparent)
        return self.start_span(name, traceparent)

    def record(
        self,
        name: str,
        traceparent: str,
        times: tuple[float, float],
        fields: dict[str, Any],
    ) -> None:
        """Record a finished span.

        ``times`` are its start and end in monotonic seconds.
        """
        if not traceparent or self._tracer is None:
            return
        context = _propagator.extract({_HEADER: traceparent})
        span = self._tracer.start_span(
            name,
            context=context,
            start_time=self._to_wall_nanoseconds(times[0]),
            attributes=fields,
        )
        span.end(self._to_wall_nanoseconds(times[1]))

    def close(self) -> None:
        """Export the remaining spans and shut down."""
        if self._provider is not None:
            self._provider.shutdown()

    def _to_wall_nanoseconds(self, monotonic_seconds: float) -> int:
        return int((monotonic_seconds + self._offset) * _NANOSECONDS)
