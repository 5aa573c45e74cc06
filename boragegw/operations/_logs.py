"""Logs as JSON lines on standard error."""

import datetime
import json
import logging

_STANDARD = frozenset(vars(logging.LogRecord("", 0, "", 0, "", None, None)).keys()) | {
    "message",
    "asctime",
    "taskName",
    "color_message",
}


class JsonLinesFormatter(logging.Formatter):
    """One JSON object a line: time, level, logger, message, and all extras."""

    def format(self, record):
        """Return the line for ``record``."""
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        row = {
            "time": moment.isoformat(timespec="milliseconds"),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD:
                row[name] = value
        if record.exc_info:
            row["exception"] = self.formatException(record.exc_info)
        return json.dumps(row, default=str)


def configure_logging(level, entry_name=""):
    """Send all logs of this process to standard error as JSON lines."""
    handler = logging.StreamHandler()
    handler.setFormatter(JsonLinesFormatter())
    if entry_name:
        handler.addFilter(_EntryNameFilter(entry_name))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for noisy in ("httpx", "httpcore", "uvicorn.access"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


class _EntryNameFilter(logging.Filter):
    """Adds the entry's name to each record."""

    def __init__(self, entry_name):
        super().__init__()
        self.entry_name = entry_name

    def filter(self, record):
        record.entry = self.entry_name
        return True
