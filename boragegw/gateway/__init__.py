"""The lean gateway process: front, back, peers, knowledge; no platform's names."""

from boragegw.gateway._asker import Asker, Place
from boragegw.gateway._board import Board
from boragegw.gateway._call import Call, Outcome, ServiceState, fingerprint
from boragegw.gateway._carrier import Carrier
from boragegw.gateway._catalogue import Catalogue
from boragegw.gateway._dialect import Dialect, HealthAnswer
from boragegw.gateway._directory import DirectoryPolicy
from boragegw.gateway._endpoint import Endpoint, Reply, path_of, query_of
from boragegw.gateway._events import EventLog
from boragegw.gateway._fetch import FetchedResponse, Fetcher
from boragegw.gateway._follower import Follower
from boragegw.gateway._front import BodyMemory, FrontConnection, Request
from boragegw.gateway._membership import Membership
from boragegw.gateway._metrics import CONTENT_TYPE, COUNTERS, Histogram, exposition
from boragegw.gateway._peer_messages import Life, Member
from boragegw.gateway._process import Gateway, GatewaySettings
from boragegw.gateway._replication import PeerSource, ReplicaServer
from boragegw.gateway._sender import Sender
from boragegw.gateway._sources import (
    Decoder,
    HistoryLostError,
    MissCount,
    Progress,
    ReadResult,
    Record,
    Source,
    SourceError,
)
from boragegw.gateway._upstream import Answer, Connection, ExchangeError, Failure, Pool

__all__ = [
    "CONTENT_TYPE",
    "COUNTERS",
    "Histogram",
    "exposition",
    "Answer",
    "Asker",
    "Board",
    "BodyMemory",
    "Call",
    "Carrier",
    "Catalogue",
    "Connection",
    "Decoder",
    "Dialect",
    "DirectoryPolicy",
    "Endpoint",
    "EventLog",
    "ExchangeError",
    "Failure",
    "FetchedResponse",
    "Fetcher",
    "Follower",
    "FrontConnection",
    "Gateway",
    "GatewaySettings",
    "HealthAnswer",
    "HistoryLostError",
    "Life",
    "Member",
    "Membership",
    "Outcome",
    "Place",
    "PeerSource",
    "Pool",
    "Progress",
    "ReadResult",
    "Record",
    "ReplicaServer",
    "Reply",
    "Request",
    "Sender",
    "ServiceState",
    "Source",
    "SourceError",
    "MissCount",
    "fingerprint",
    "path_of",
    "query_of",
]
