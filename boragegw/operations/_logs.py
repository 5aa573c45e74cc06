"""Logging as JSON lines on standard error."""

import datetime
import json
import logging

_STANDARD_ATTRIBUTES = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", None, None)).keys()
) | {
    "message",
    "asctime",
    "taskName",
    "color_message",
}


class JsonLinesFormatter(logging.Formatter):
    """Formats a record as JSON: time, level, logger, message and extra fields."""

    def format(self, record):
        """Return the JSON line for ``record``."""
        timestamp = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        row = {
            "time": timestamp.isoformat(timespec="milliseconds"),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_ATTRIBUTES:
                row[name] = value
        if record.exc_info:
            row["exception"] = self.formatException(record.exc_info)
        return json.dumps(row, default=str)


def configure_logging(level, entry_name=""):
    """Configure logging of this process as JSON lines on standard error.

    :param level: lowest level that is logged.
    :param entry_name: added to each line as ``entry`` unless it is empty.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(JsonLinesFormatter())
    if entry_name:
        handler.addFilter(_EntryNameFilter(entry_name))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for logger_name in ("httpx", "httpcore", "uvicorn.access"):
        logging.getLogger(logger_name).setLevel(logging.WARNING)


class _EntryNameFilter(logging.Filter):
    """Adds the name of the entry to each record."""

    def __init__(self, entry_name):
        super().__init__()
        self.entry_name = entry_name

    def filter(self, record):
        record.entry = self.entry_name
        return True
