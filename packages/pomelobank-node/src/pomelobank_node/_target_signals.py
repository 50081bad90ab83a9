"""Reads what a target says of itself in the headers of its responses."""

import logging
import math

import attrs

from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._http_messages import find_header
from pomelobank_node._requests import Headers

_logger = logging.getLogger(__name__)


@attrs.frozen
class TargetSignals:
    """What a target says of itself in a response.

    Attributes:
        max_per_s: Requests per second that the target takes from all nodes
            together; None if it names no limit.
        leaving: Whether the target leaves.
    """

    max_per_s: float | None = None
    leaving: bool = False


_NO_SIGNALS = TargetSignals()
_IS_LEAVING = b"1"


def read_signals(
    headers: Headers, conventions: HttpConventions
) -> TargetSignals | None:
    """Reads the signals of a response.

    Args:
        headers: Headers of the response.
        conventions: Names of the headers.

    Returns:
        The signals; None if the response is not the target's own, or if it is a
        rejection without signals: only a response to a request that ran can
        end a limit.
    """
    signals = TargetSignals(
        _read_rate(headers, conventions.rate_limit),
        leaving=_is_leaving(headers, conventions.leaving),
    )
    if conventions.response_marker and not find_header(
        headers, conventions.response_marker
    ):
        is_rejection = conventions.not_run and find_header(
            headers, conventions.not_run
        )
        if not is_rejection or signals == _NO_SIGNALS:
            return None
    return signals


def _is_leaving(headers: Headers, name: bytes) -> bool:
    return bool(name) and find_header(headers, name) == _IS_LEAVING


def _read_rate(headers: Headers, name: bytes) -> float | None:
    value = find_header(headers, name) if name else None
    if value is None:
        return None
    try:
        per_s = float(value)
    except ValueError:
        per_s = math.nan
    if not 0 <= per_s < math.inf:
        _logger.debug("target.unusable_rate_limit", extra={"value": str(value)})
        return None
    return per_s
