"""Communication between entry processes: datagrams, forwarding, bulk transfers."""

from boragegw.peers._authentication import ReplayWindow, RequestSigner
from boragegw.peers._base import (
    ConfigurationBundle,
    KnownConfiguration,
    PeerError,
    PeerNetwork,
)
from boragegw.peers._bulk_codec import decode_sealed_table, encode_sealed_table
from boragegw.peers._datagram_codec import (
    DATAGRAM_LIMIT,
    DatagramCodec,
    MalformedDatagramError,
)
from boragegw.peers._http import HttpPeerNetwork
from boragegw.peers._messages import (
    BackendCount,
    Beat,
    Heartbeat,
    LoadDigest,
    Quarantine,
    Temperature,
)
from boragegw.peers._udp import UdpEndpoint

__all__ = [
    "DATAGRAM_LIMIT",
    "BackendCount",
    "Beat",
    "ConfigurationBundle",
    "DatagramCodec",
    "Heartbeat",
    "HttpPeerNetwork",
    "KnownConfiguration",
    "LoadDigest",
    "MalformedDatagramError",
    "PeerError",
    "PeerNetwork",
    "Quarantine",
    "ReplayWindow",
    "RequestSigner",
    "Temperature",
    "UdpEndpoint",
    "decode_sealed_table",
    "encode_sealed_table",
]
