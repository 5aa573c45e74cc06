"""One entry process: the parts put together, its sockets and its life."""

from boragegw.server._node import Node, NodeParameters
from boragegw.server._peer_application import PeerApplication
from boragegw.server._process import EntryProcess

__all__ = ["EntryProcess", "Node", "NodeParameters", "PeerApplication"]
