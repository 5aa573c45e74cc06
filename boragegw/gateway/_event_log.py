"""Structured log: one JSON line for each decision, bounded and never blocking."""

import collections
import os
import time

import msgspec

#: Lines of one kind that are written in a second; the rest is counted.
LINES_PER_SECOND = 20
#: Bytes that wait for a reader of standard output that does not read.
BACKLOG_BYTES = 256 * 1024


class EventLog:
    """Writes events as JSON lines to a file descriptor.

    :param process: name of this process, on each line.
    :param now: function that returns monotonic seconds.
    :param descriptor: file descriptor; it is made non-blocking, so a reader that
        stops reading costs lines and never a request.
    """

    def __init__(self, process, now, descriptor=1, wall=time.time):
        self.process = process
        self.now = now
        self.descriptor = descriptor
        self.wall = wall
        self._second = -1
        self._written = collections.Counter()
        self._left_out = collections.Counter()
        self._lost = 0
        self._backlog = bytearray()
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        os.set_blocking(descriptor, False)

    def event(self, kind, **fields):
        """Write one line, unless this second has had its share of the kind."""
        second = int(self.now())
        if second != self._second:
            self._second = second
            self._report_left_out()
        self._written[kind] += 1
        if self._written[kind] > LINES_PER_SECOND:
            self._left_out[kind] += 1
            return
        self._write(kind, fields)

    def _report_left_out(self):
        self._written.clear()
        if self._left_out or self._lost:
            counts = dict(self._left_out)
            lost, self._lost = self._lost, 0
            self._left_out.clear()
            self._write("left-out", {"lines": counts, "lost": lost})

    def _write(self, kind, fields):
        row = {"time": round(self.wall(), 4), "at": round(self.now(), 4)}
        row["process"] = self.process
        row["event"] = kind
        row.update(fields)
        line = self._encode(row) + b"\n"
        if len(self._backlog) + len(line) > BACKLOG_BYTES:
            # The reader may have come back: without a try here it never would.
            self.flush()
        if len(self._backlog) + len(line) > BACKLOG_BYTES:
            self._lost += 1
            return
        self._backlog += line
        self.flush()

    def flush(self):
        """Write what waits, as far as the reader takes it."""
        if not self._backlog:
            return
        try:
            written = os.write(self.descriptor, self._backlog)
        except BlockingIOError:
            return
        except OSError:
            # Nobody will read any more: count the lines and serve on.
            self._lost += self._backlog.count(b"\n")
            self._backlog.clear()
            return
        del self._backlog[:written]
