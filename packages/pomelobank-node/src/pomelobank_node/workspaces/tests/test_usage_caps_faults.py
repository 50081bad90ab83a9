"""The bound of usage caps over all nodes, under faults."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest

from pomelobank_core import MemberState
from pomelobank_node.workspaces.tests.cap_mesh import (
    LARGE,
    RULES,
    CapMesh,
)

_BOUND = RULES.bound(LARGE.rate_per_s, LARGE.burst)
_USUAL_PER_S = LARGE.rate_per_s / 1.6
_FLOOD_PER_S = 9 * _USUAL_PER_S


async def _nothing(mesh: CapMesh) -> None:
    await asyncio.sleep(0)


async def _authority_dies(mesh: CapMesh) -> None:
    await mesh.kill(mesh.authority(LARGE))


async def _authority_freezes(mesh: CapMesh) -> None:
    node = mesh.authority(LARGE)
    mesh.freeze(node)
    await asyncio.sleep(mesh.rng.uniform(0.8, 5))
    mesh.thaw(node)


async def _entry_freezes(mesh: CapMesh) -> None:
    node = next(
        item
        for item in mesh.nodes.values()
        if item is not mesh.authority(LARGE)
    )
    mesh.freeze(node)
    await asyncio.sleep(3)
    mesh.thaw(node)


async def _cut_off(mesh: CapMesh, with_authority: bool) -> None:
    names = sorted(mesh.nodes)
    mesh.rng.shuffle(names)
    authority = mesh.authority(LARGE).name
    names.remove(authority)
    far = set(names[: mesh.size // 3])
    if with_authority:
        far.add(authority)
    mesh.partition(far)
    await asyncio.sleep(9)
    mesh.heal()


async def _third_with_authority_cut_off(mesh: CapMesh) -> None:
    await _cut_off(mesh, with_authority=True)


async def _third_without_authority_cut_off(mesh: CapMesh) -> None:
    await _cut_off(mesh, with_authority=False)


async def _all_restart(mesh: CapMesh) -> None:
    await mesh.restart_all()


async def _new_first_member(mesh: CapMesh) -> None:
    # The authority's process ends and starts again a second later.
    node = mesh.authority(LARGE)
    await mesh.kill(node)
    await asyncio.sleep(1)
    node.incarnation += 1
    await mesh._start_process(node)
    for other in mesh.nodes.values():
        mesh._tell_later(node, other, MemberState.READY, (50, 900))
    mesh.spread(node, MemberState.READY)


@attrs.frozen
class _Case:
    fault: Callable[[CapMesh], Awaitable[None]]
    # Requests per second before the fault and after it.
    before_per_s: float = _FLOOD_PER_S
    after_per_s: float = _FLOOD_PER_S


_CASES = {
    "no fault, flood at nine times": _Case(_nothing),
    "a burst from a full bucket": _Case(_nothing, before_per_s=1),
    "authority dies": _Case(_authority_dies),
    "authority dies after a pause of the load": _Case(
        _authority_dies, before_per_s=1
    ),
    "authority freezes": _Case(_authority_freezes),
    "authority freezes, load stops before": _Case(
        _authority_freezes, before_per_s=1
    ),
    "entry freezes": _Case(_entry_freezes),
    "third with the authority cut off": _Case(_third_with_authority_cut_off),
    "third without it cut off": _Case(_third_without_authority_cut_off),
    "all restart": _Case(_all_restart),
    "authority replaced": _Case(_new_first_member),
}


async def _play(mesh: CapMesh, case: _Case) -> None:
    await mesh.start_all()
    await mesh.load(LARGE.name, case.before_per_s, 6)
    load = asyncio.create_task(mesh.load(LARGE.name, case.after_per_s, 15))
    await asyncio.sleep(0.3)
    await case.fault(mesh)
    await load


def _replay(case: _Case, seed: int, size: int = 62) -> CapMesh:
    mesh = CapMesh(seed, size)
    mesh.run(_play(mesh, case))
    return mesh


@pytest.mark.parametrize("case", _CASES.values(), ids=_CASES)
def test_no_window_exceeds_the_cap_of_a_flooding_workspace(
    case: _Case,
) -> None:
    """Guards against tokens that two nodes grant, or one grants twice."""
    mesh = _replay(case, seed=1)
    assert mesh.worst_window(LARGE.name) <= _BOUND
