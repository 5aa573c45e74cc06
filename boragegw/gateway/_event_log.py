"""Structured log of one JSON line per event, rate-limited and non-blocking."""

import collections
import os
import time

import msgspec

#: Lines of one kind that are written in a second. Further lines are only counted.
LINES_PER_SECOND = 20
#: Bytes that are buffered while the reader of the log does not read.
BACKLOG_BYTES = 256 * 1024
#: Characters of a text from outside, such as a reason or an address, that are written.
MAX_TEXT_LENGTH = 500


class EventLog:
    """Writes events as JSON lines to a file descriptor.

    :param process: name of this process, part of each line.
    :param now: function that returns monotonic seconds.
    :param descriptor: file descriptor. It is made non-blocking: if its reader stops
        reading, lines are dropped and requests are not delayed.
    :param wall: function that returns the wall-clock time in seconds.
    """

    def __init__(self, process, now, descriptor=1, wall=time.time):
        self.process = process
        self.now = now
        self.descriptor = descriptor
        self.wall = wall
        self._second = -1
        self._written = collections.Counter()
        self._suppressed = collections.Counter()
        self._dropped = 0
        self._backlog = bytearray()
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        os.set_blocking(descriptor, False)

    def event(self, kind, **fields):
        """Write one line, unless the limit of its kind is reached in this second."""
        second = int(self.now())
        if second != self._second:
            self._second = second
            self._report_suppressed()
        self._written[kind] += 1
        if self._written[kind] > LINES_PER_SECOND:
            self._suppressed[kind] += 1
            return
        self._write(kind, fields)

    def _report_suppressed(self):
        self._written.clear()
        if self._suppressed or self._dropped:
            counts = dict(self._suppressed)
            lost, self._dropped = self._dropped, 0
            self._suppressed.clear()
            self._write("left-out", {"lines": counts, "lost": lost})

    def _write(self, kind, fields):
        row = {"time": round(self.wall(), 4), "at": round(self.now(), 4)}
        row["process"] = self.process
        row["event"] = kind
        row.update((name, _shortened(value)) for name, value in fields.items())
        line = self._encode(row) + b"\n"
        if len(self._backlog) + len(line) > BACKLOG_BYTES:
            # The reader may have resumed. Without this flush, a full buffer would never
            # shrink.
            self.flush()
        if len(self._backlog) + len(line) > BACKLOG_BYTES:
            self._dropped += 1
            return
        self._backlog += line
        self.flush()

    def flush(self):
        """Write buffered lines as far as the reader accepts them."""
        if not self._backlog:
            return
        try:
            written = os.write(self.descriptor, self._backlog)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone: count the lines as lost and continue without logging.
            self._dropped += self._backlog.count(b"\n")
            self._backlog.clear()
            return
        del self._backlog[:written]


def _shortened(value):
    if isinstance(value, str) and len(value) > MAX_TEXT_LENGTH:
        return value[:MAX_TEXT_LENGTH] + "..."
    return value
