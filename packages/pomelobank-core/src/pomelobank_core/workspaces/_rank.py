"""Rank of a request among the requests that wait at a target."""

import xxhash

from pomelobank_core.workspaces._workspace import Workspace

# Distance between the ranks of two workspace priorities. Priorities of routes
# are 0 to 1,000, so no route of a workspace overtakes a more urgent workspace.
RANKS_PER_WORKSPACE_PRIORITY = 1001
# Fraction of each workspace's requests that are ranked as if the workspace had
# priority 0. Under a lasting shortage, a strict order would starve the last
# workspaces; no workspace may be served less than a quarter as often as all.
LOTTERY_FRACTION = 0.3
_HASH_RANGE = 2**64


def request_rank(
    workspace: Workspace | None,
    route_priority: int,
    request_id: str,
    lottery_seed: int = 0,
) -> int:
    """Returns the rank of a request; a lower rank goes first.

    >>> request_rank(None, 2, "r-1")
    2

    Args:
        workspace: The request's workspace; None if the request has none. Calls
            of running work have none and must not wait behind their parents.
        route_priority: Priority of the route, 0 to 1,000.
        request_id: Id of the request, which decides the lottery.
        lottery_seed: Seed of the hash. Callers choose request ids, so with a
            known seed a caller could choose ids that win.
    """
    priority = 0 if workspace is None else workspace.priority or 0
    if priority and _wins_lottery(request_id, lottery_seed):
        priority = 0
    return priority * RANKS_PER_WORKSPACE_PRIORITY + route_priority


def _wins_lottery(request_id: str, seed: int) -> bool:
    draw = xxhash.xxh3_64_intdigest(request_id.encode(), seed)
    return draw < LOTTERY_FRACTION * _HASH_RANGE
