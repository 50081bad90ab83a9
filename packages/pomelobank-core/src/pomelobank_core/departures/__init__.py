"""Departures of targets: which targets have left, and who knows of it."""

from pomelobank_core.departures._departures import (
    Departures,
    digest_of,
    is_departure_of,
    key_of,
)
from pomelobank_core.departures._peer_survey import (
    MAX_QUERIED_PEERS,
    MAX_REPLY_WAIT_MS,
    QUERY_INTERVAL_MS,
    REFRESH_PEERS,
    PeerSurvey,
)

__all__ = [
    "MAX_QUERIED_PEERS",
    "MAX_REPLY_WAIT_MS",
    "QUERY_INTERVAL_MS",
    "REFRESH_PEERS",
    "Departures",
    "PeerSurvey",
    "digest_of",
    "is_departure_of",
    "key_of",
]
