"""OpenTelemetry traces, exported as JSON lines to a file or by OTLP to a collector."""

import pathlib

from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export, sampling
from opentelemetry.trace.propagation import tracecontext

from boragegw import entry

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class _Span(entry.Span):
    """Adapts an OpenTelemetry span."""

    __slots__ = ("_span",)

    def __init__(self, span):
        self._span = span

    @property
    def traceparent(self):
        context = self._span.get_span_context()
        flags = int(context.trace_flags)
        text = f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}"
        return text.encode()

    def end(self, **attributes):
        self._span.set_attributes(attributes)
        self._span.end()


class OpenTelemetryTracer(entry.Tracer):
    """Records spans with an OpenTelemetry provider.

    :param provider: an OpenTelemetry ``TracerProvider``.
    """

    def __init__(self, provider):
        self.provider = provider
        self._tracer = provider.get_tracer("boragegw")

    def start(self, name, parent, **attributes):
        """Start a span.

        :param parent: the parent's ``traceparent`` header, or ``None`` for a new trace.
        """
        context = None
        if parent is not None:
            context = _PROPAGATOR.extract({"traceparent": parent.decode("latin1")})
        span = self._tracer.start_span(name, context, attributes=attributes)
        return _Span(span)

    def close(self):
        """Export the remaining spans and shut the provider down."""
        self.provider.shutdown()


def make_tracer(target, ratio, entry_name):
    """Return a tracer for the trace target of the settings.

    :param target: "" for no traces, an ``http://`` or ``https://`` address for OTLP,
        or the path of a file for JSON lines.
    :param ratio: share of traces that are sampled if the caller made no decision.
    """
    if not target:
        return entry.NullTracer()
    sampler = sampling.ParentBased(sampling.TraceIdRatioBased(ratio))
    resource = resources.Resource({"service.name": "boragegw", "entry": entry_name})
    provider = sdk.TracerProvider(sampler=sampler, resource=resource)
    if target.startswith(("http://", "https://")):
        exporter = trace_exporter.OTLPSpanExporter(endpoint=target)
    else:
        exporter = export.ConsoleSpanExporter(
            out=pathlib.Path(target).open("a", encoding="utf-8"),  # noqa: SIM115
            formatter=lambda span: span.to_json(indent=None) + "\n",
        )
    provider.add_span_processor(export.BatchSpanProcessor(exporter))
    return OpenTelemetryTracer(provider)
