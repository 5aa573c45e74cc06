"""Decoding of bytes that come from outside of the process."""


class MalformedInputError(ValueError):
    """Bytes from outside cannot be decoded."""


class NestedTooDeeplyError(MalformedInputError):
    """Values in bytes from outside are nested more deeply than can be decoded."""


class InputDecoder:
    """Turns every exception that a decoder raises for its input into one type.

    Decoders raise more than they document: most raise :class:`RecursionError`, which is
    no :class:`ValueError`, for a value that is nested some hundred levels deep, also in
    a field that they skip. A caller that lists the exceptions of its decoder lets such
    an input end a task that serves all others.

    :param decode: function from bytes to a value. It must depend on its input only.
    """

    __slots__ = ("_decode",)

    def __init__(self, decode):
        self._decode = decode

    def decode(self, data):
        """Return the decoded ``data``.

        :raises NestedTooDeeplyError: if its values are nested too deeply.
        :raises MalformedInputError: if it cannot be decoded for any other reason.
        """
        try:
            return self._decode(data)
        except RecursionError as error:
            raise NestedTooDeeplyError("values are nested too deeply") from error
        except Exception as error:
            raise MalformedInputError(str(error) or type(error).__name__) from error
