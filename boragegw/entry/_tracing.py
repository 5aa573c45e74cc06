"""The interface to traces: a span for each hop."""

import abc


class Span(abc.ABC):
    """One hop of a request."""

    @property
    @abc.abstractmethod
    def traceparent(self):
        """The span's context as the bytes of a ``traceparent`` header, or ``None``."""

    @abc.abstractmethod
    def end(self, **attributes):
        """End the span with ``attributes``."""


class Tracer(abc.ABC):
    """Starts spans."""

    @abc.abstractmethod
    def start(self, name, parent, **attributes):
        """Start a span under the ``traceparent`` bytes ``parent``, or ``None``."""


class _PassedSpan(Span):
    """Passes its parent's context on and records nothing."""

    __slots__ = ("_parent",)

    def __init__(self, parent):
        self._parent = parent

    @property
    def traceparent(self):
        return self._parent

    def end(self, **attributes):
        pass


class NullTracer(Tracer):
    """Records nothing; contexts pass through."""

    def start(self, name, parent, **attributes):
        """Return a span that records nothing."""
        return _PassedSpan(parent)
