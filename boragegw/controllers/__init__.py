"""Controllers: background tasks and event handlers that update the blackboard."""

from boragegw.controllers._allotments import AllotmentController
from boragegw.controllers._configuration import ConfigurationController
from boragegw.controllers._dispatcher import Dispatcher
from boragegw.controllers._gossip import GossipController
from boragegw.controllers._health_observer import HealthObserver
from boragegw.controllers._membership import MembershipController
from boragegw.controllers._services import ServicesController

__all__ = [
    "AllotmentController",
    "ConfigurationController",
    "Dispatcher",
    "GossipController",
    "MembershipController",
    "HealthObserver",
    "ServicesController",
]
