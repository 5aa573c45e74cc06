"""The interface to distributed tracing: one span for each step of a request."""

import abc


class Span(abc.ABC):
    """One step of a request."""

    @property
    @abc.abstractmethod
    def traceparent(self):
        """The span's context as the value of a ``traceparent`` header, or ``None``."""

    @abc.abstractmethod
    def end(self, **attributes):
        """End the span with ``attributes``."""


class Tracer(abc.ABC):
    """Starts the spans of requests."""

    @abc.abstractmethod
    def start(self, name, parent, **attributes):
        """Start a span.

        :param parent: value of the parent's ``traceparent`` header, or ``None``.
        """


class _NonRecordingSpan(Span):
    """Propagates the parent's context and records nothing."""

    __slots__ = ("_parent",)

    def __init__(self, parent):
        self._parent = parent

    @property
    def traceparent(self):
        return self._parent

    def end(self, **attributes):
        pass


class NullTracer(Tracer):
    """Records nothing and propagates the caller's trace context."""

    def start(self, name, parent, **attributes):
        """Return a span that records nothing."""
        return _NonRecordingSpan(parent)
