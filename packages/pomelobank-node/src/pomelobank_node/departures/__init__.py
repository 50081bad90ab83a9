"""Departures of targets, kept in the log and by the node's peers."""

from pomelobank_node.departures._departure_log import DepartureLog
from pomelobank_node.departures._peer_departures import PeerDepartures
from pomelobank_node.departures._registry import (
    DepartureNotKeptError,
    DepartureRegistry,
)

__all__ = [
    "DepartureLog",
    "DepartureNotKeptError",
    "DepartureRegistry",
    "PeerDepartures",
]
