"""The entry process: its components, its listeners, its start and its shutdown."""

from boragegw.server._node import Node, NodeParameters
from boragegw.server._peer_application import PeerApplication
from boragegw.server._process import EntryProcess

__all__ = ["EntryProcess", "Node", "NodeParameters", "PeerApplication"]
