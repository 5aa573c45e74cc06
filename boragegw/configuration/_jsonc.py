"""JSON with comments, and one-line errors from models."""

import pathlib

import pydantic
import pyjson5

from boragegw import errors


def load_jsonc(path):
    """Return the parsed content of a file in JSON with comments.

    :raises ConfigurationError: if it cannot be read or parsed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise errors.ConfigurationError(path, "file", f"not UTF-8: {error}") from error
    except OSError as error:
        raise errors.ConfigurationError(path, "file", error.strerror) from error
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        message = str(error.args[0]) if error.args else type(error).__name__
        raise errors.ConfigurationError(path, "syntax", message) from error


def validate_model(model, data, source):
    """Return ``data`` as an instance of the pydantic class ``model``.

    :raises ConfigurationError: naming the first key at fault, its value and what was
        expected.
    """
    try:
        return model.model_validate(data)
    except pydantic.ValidationError as error:
        raise _first_fault(error, source) from error


def _first_fault(error, source):
    faults = error.errors(include_url=False)
    fault = faults[0]
    key = ".".join(str(part) for part in fault["loc"]) or "document"
    value = repr(fault["input"])
    shown = value if len(value) <= 80 else value[:77] + "..."
    detail = fault["msg"].replace("\n", " ")
    more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
    return errors.ConfigurationError(source, key, f"{shown}: {detail}{more}")
