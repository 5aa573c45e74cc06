"""Compression of messages between processes, and deltas between versions of a value.

The library is imported with the first large response. The import takes 6 ms of CPU time
and 1 MB of memory, which a process without large responses does not need.
"""

#: Name of the format in the Content-Encoding header.
ENCODING = b"zstd"
#: Size in bytes from which a response is compressed and a changed value is sent as a
#: delta. A link of 5 Mbit/s takes 50 ms for it.
COMPRESSION_THRESHOLD_BYTES = 32 << 10
#: Compression level; 376 KB take 1.3 ms.
COMPRESSION_LEVEL = 3
#: Binary logarithm of the minimum window size in bytes, and the difference between the
#: logarithms of the window size and of the size of the hash table. With a hash table of
#: fixed size, all but the end of a large old value is evicted before the new value is
#: matched against it.
MIN_WINDOW_LOG = 15
HASH_LOG_OFFSET = 2
#: Maximum window size in bytes, for the old and the new value together.
MAX_WINDOW_BYTES = 64 << 20


class CompressionError(Exception):
    """The data cannot be decompressed."""


def compress(data):
    """Return ``data`` compressed."""
    return _import_zstandard().ZstdCompressor(level=COMPRESSION_LEVEL).compress(data)


def decompress(data, limit):
    """Return ``data`` decompressed.

    :param limit: maximum size of the result in bytes.
    :raises CompressionError: if ``data`` is corrupt or the result is larger.
    """
    return _decompress(data, limit, None)


def make_delta(new, old):
    """Return the delta from ``old`` to ``new``, which is small if they are similar."""
    zstandard = _import_zstandard()
    # The window at the end of the new value must include the whole old value.
    window_log = max((len(new) + len(old)).bit_length(), MIN_WINDOW_LOG)
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL,
        strategy=zstandard.STRATEGY_DFAST,
        window_log=window_log,
        hash_log=window_log - HASH_LOG_OFFSET,
        chain_log=window_log - HASH_LOG_OFFSET,
        # The checksum detects a delta that is applied to another old value.
        write_checksum=True,
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_raw_dictionary(old)
    )
    return compressor.compress(new)


def apply_delta(data, old, limit):
    """Return the value that results from applying the delta ``data`` to ``old``.

    :param limit: maximum size of the result in bytes.
    :raises CompressionError: if ``data`` is corrupt, the result is larger, or the delta
        belongs to another old value.
    """
    return _decompress(data, limit, _raw_dictionary(old))


def _decompress(data, limit, dictionary):
    zstandard = _import_zstandard()
    try:
        size = zstandard.get_frame_parameters(data).content_size
        if size > limit:
            raise CompressionError(f"{size} bytes: expected at most {limit}")
        decompressor = zstandard.ZstdDecompressor(
            dict_data=dictionary, max_window_size=MAX_WINDOW_BYTES
        )
        return decompressor.decompress(data)
    except zstandard.ZstdError as error:
        raise CompressionError(str(error)) from error


def _raw_dictionary(value):
    zstandard = _import_zstandard()
    return zstandard.ZstdCompressionDict(
        value, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _import_zstandard():
    import zstandard

    return zstandard
