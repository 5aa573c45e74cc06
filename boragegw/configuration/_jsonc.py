"""Reading of JSON with comments, and one-line errors for invalid models."""

import pathlib

import pydantic
import pyjson5

from boragegw import errors, utils

#: Keys of data that no error message shows.
SECRET_KEYS = {"api_keys"}
NOT_SHOWN = "(not shown)"

_json5 = utils.InputDecoder(pyjson5.decode)


def load_jsonc(path):
    """Return the parsed content of a file in JSON with comments.

    :raises ConfigurationError: if the file cannot be read or parsed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise errors.ConfigurationError(path, "file", f"not UTF-8: {error}") from error
    except OSError as error:
        raise errors.ConfigurationError(path, "file", error.strerror) from error
    try:
        return _json5.decode(text)
    except utils.MalformedInputError as error:
        cause = error.__cause__
        message = str(cause.args[0]) if cause.args else type(cause).__name__
        raise errors.ConfigurationError(path, "syntax", message) from error


def validate_model(model, data, source):
    """Return ``data`` as an instance of the pydantic class ``model``.

    :param source: name of the data in the error message.
    :raises ConfigurationError: with the first invalid key, its value and what was
        expected.
    """
    try:
        return model.model_validate(data)
    except pydantic.ValidationError as error:
        raise _first_error(error, source) from error


def _first_error(error, source):
    details = error.errors(include_url=False)
    first = details[0]
    key = ".".join(str(part) for part in first["loc"]) or "document"
    value = (
        NOT_SHOWN if SECRET_KEYS & set(first["loc"]) else repr(_redact(first["input"]))
    )
    shown = value if len(value) <= 80 else value[:77] + "..."
    message = first["msg"].replace("\n", " ")
    suffix = f" (and {len(details) - 1} more)" if len(details) > 1 else ""
    return errors.ConfigurationError(source, key, f"{shown}: {message}{suffix}")


def _redact(data):
    """Return a copy of ``data`` without the values of secret keys."""
    if isinstance(data, dict):
        return {
            key: NOT_SHOWN if key in SECRET_KEYS else _redact(value)
            for key, value in data.items()
        }
    if isinstance(data, list):
        return [_redact(value) for value in data]
    return data
