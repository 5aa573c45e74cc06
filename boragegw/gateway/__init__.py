"""The gateway process: request path, membership and replication of configuration.

The package is independent of the platform. Names of headers, paths and settings are
defined by a platform adapter, see :class:`Dialect`.
"""

from boragegw.gateway._admission import (
    Admission,
    AdmissionControl,
    CallerIdentity,
    RejectedError,
    Rejection,
)
from boragegw.gateway._blackboard import Blackboard
from boragegw.gateway._call import (
    AttemptOutcome,
    Call,
    ServiceState,
    request_fingerprint,
)
from boragegw.gateway._caller_connection import CallerConnection
from boragegw.gateway._catalogue import Catalogue
from boragegw.gateway._confirmer import Confirmer
from boragegw.gateway._connection_pool import ConnectionPool
from boragegw.gateway._currency import Currency, rounded_age
from boragegw.gateway._dialect import Dialect, HealthResponse
from boragegw.gateway._directory import DirectoryPolicy
from boragegw.gateway._endpoint import Endpoint, EndpointResponse, path_of, query_of
from boragegw.gateway._event_log import EventLog
from boragegw.gateway._fetch import FetchedResponse, Fetcher
from boragegw.gateway._follower import Follower
from boragegw.gateway._forwarder import Forwarder
from boragegw.gateway._gateway import Gateway
from boragegw.gateway._gateway_settings import GatewaySettings
from boragegw.gateway._membership import Membership
from boragegw.gateway._metrics import CONTENT_TYPE, COUNTERS, Histogram, render_metrics
from boragegw.gateway._peer_messages import Life, Member
from boragegw.gateway._replication import PeerSource, ReplicaServer
from boragegw.gateway._request import BodyMemory, Request
from boragegw.gateway._sender import Sender
from boragegw.gateway._server_selector import Selection, ServerSelector
from boragegw.gateway._sources import (
    Confirmation,
    Decoder,
    HistoryLostError,
    MissCount,
    Progress,
    ReadResult,
    Record,
    Source,
    SourceError,
)
from boragegw.gateway._upstream import (
    ExchangeError,
    Failure,
    Response,
    UpstreamConnection,
)

__all__ = [
    "CONTENT_TYPE",
    "COUNTERS",
    "Histogram",
    "render_metrics",
    "Response",
    "ServerSelector",
    "Admission",
    "AdmissionControl",
    "Blackboard",
    "CallerIdentity",
    "RejectedError",
    "Rejection",
    "BodyMemory",
    "Call",
    "Forwarder",
    "Catalogue",
    "UpstreamConnection",
    "Confirmation",
    "Confirmer",
    "Currency",
    "rounded_age",
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
    "CallerConnection",
    "Gateway",
    "GatewaySettings",
    "HealthResponse",
    "HistoryLostError",
    "Life",
    "Member",
    "Membership",
    "AttemptOutcome",
    "Selection",
    "PeerSource",
    "ConnectionPool",
    "Progress",
    "ReadResult",
    "Record",
    "ReplicaServer",
    "EndpointResponse",
    "Request",
    "Sender",
    "ServiceState",
    "Source",
    "SourceError",
    "MissCount",
    "request_fingerprint",
    "path_of",
    "query_of",
]
