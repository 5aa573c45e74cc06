"""Compresses what processes send each other, also against what the other one knows.

The library is imported with the first large answer: it takes 6 ms of processor time and
1 MB, which a process that never sends or reads one does not need.
"""

#: Name of the format in the Content-Encoding header.
ENCODING = b"zstd"
#: Bytes from which an answer is compressed and a changed value is sent as a difference:
#: on a link of 5 Mbit/s it takes 50 ms.
LARGE = 32 << 10
#: Level of compression: 1.3 ms for 376 KB.
LEVEL = 3
#: Binary logarithms of a window's bytes at least, and by how much a table of the places
#: in it is smaller. With a table of fixed size, all but the end of a large old value is
#: forgotten before the new one is compared with it.
LEAST_WINDOW_LOG = 15
HASH_LOG_BELOW = 2
#: Bytes of old and new value that an answer may refer to.
WINDOW_LIMIT = 64 << 20


class CompressionError(Exception):
    """Bytes that cannot be decompressed."""


def compress(data):
    """Return ``data`` compressed."""
    return _library().ZstdCompressor(level=LEVEL).compress(data)


def decompress(data, limit):
    """Return the bytes that were compressed.

    :param limit: most bytes that are accepted.
    :raises CompressionError: if ``data`` is damaged or holds more.
    """
    return _decompress(data, limit, None)


def difference(new, old):
    """Return what makes ``new`` of ``old``, a few bytes if they are much alike."""
    zstandard = _library()
    # The whole old value has to be in sight from the end of the new one.
    window_log = max((len(new) + len(old)).bit_length(), LEAST_WINDOW_LOG)
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        strategy=zstandard.STRATEGY_DFAST,
        window_log=window_log,
        hash_log=window_log - HASH_LOG_BELOW,
        chain_log=window_log - HASH_LOG_BELOW,
        # It tells a difference that is applied to another old value.
        write_checksum=True,
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_prefix(old)
    )
    return compressor.compress(new)


def apply_difference(data, old, limit):
    """Return the new value of which ``data`` is the difference to ``old``.

    :param limit: most bytes that are accepted.
    :raises CompressionError: if ``data`` is damaged, holds more or belongs to another
        old value.
    """
    return _decompress(data, limit, _prefix(old))


def _decompress(data, limit, prefix):
    zstandard = _library()
    try:
        size = zstandard.get_frame_parameters(data).content_size
        if size > limit:
            raise CompressionError(f"{size} bytes: expected at most {limit}")
        decompressor = zstandard.ZstdDecompressor(
            dict_data=prefix, max_window_size=WINDOW_LIMIT
        )
        return decompressor.decompress(data)
    except zstandard.ZstdError as error:
        raise CompressionError(str(error)) from error


def _prefix(value):
    zstandard = _library()
    return zstandard.ZstdCompressionDict(
        value, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _library():
    import zstandard

    return zstandard
