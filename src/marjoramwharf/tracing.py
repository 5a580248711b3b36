"""Trace spans for each step of a request through the system.

The OpenTelemetry API is always loaded and costs little without an exporter.
The SDK is imported only if the settings name an OTLP collector, since it adds
about 20 MB to the resident memory of an entry.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import TYPE_CHECKING

from opentelemetry import propagate, trace

if TYPE_CHECKING:
    from marjoramwharf.settings import TraceSettings

_TRACER = trace.get_tracer('marjoramwharf')


@contextmanager
def start_span(
    name: str,
    *,
    kind: trace.SpanKind = trace.SpanKind.INTERNAL,
    headers: Mapping[str, str] | None = None,
) -> Iterator[trace.Span]:
    """Run a block in a trace span.

    ``headers`` are those of an incoming request; with their ``traceparent``
    the span becomes a child of the caller's span.
    """
    parent = None if headers is None else propagate.extract(dict(headers))
    with _TRACER.start_as_current_span(
        name,
        context=parent,
        kind=kind,
    ) as span:
        yield span


def trace_headers() -> dict[str, str]:
    """Return the headers that pass the current span on to the next process."""
    headers: dict[str, str] = {}
    propagate.inject(headers)
    return headers


def configure_tracing(settings: TraceSettings, *, entry_id: str) -> None:
    """Export the spans to the collector of the settings, if there is one."""
    if settings.otlp_url is None:
        return
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
        OTLPSpanExporter,
    )
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    provider = TracerProvider(
        resource=Resource.create(
            {'service.name': 'marjoramwharf', 'service.instance.id': entry_id},
        ),
    )
    exporter = OTLPSpanExporter(endpoint=f'{settings.otlp_url}/v1/traces')
    provider.add_span_processor(
        BatchSpanProcessor(
            exporter,
            max_queue_size=settings.buffer_spans_count,
            max_export_batch_size=min(settings.buffer_spans_count, 512),
        ),
    )
    trace.set_tracer_provider(provider)
