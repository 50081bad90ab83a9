"""The node's own pages and its target's announcements."""

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from pomelobank_core import MemberState
from pomelobank_node._membership import Membership
from pomelobank_node._owner import Owner, Target
from pomelobank_schema import SchemaError, parse_address

_BAD_REQUEST = 400


@attrs.define(eq=False)
class Admin:
    """Pages for the platform and for the target beside the node.

    Attributes:
        owner: Takes the target.
        membership: Tells others of it.
    """

    owner: Owner
    membership: Membership

    def application(self) -> Starlette:
        """Returns the ASGI application of these pages."""
        return Starlette(
            routes=[
                Route("/v1/target", self.announce, methods=["POST"]),
                Route("/v1/target/drain", self.drain, methods=["POST"]),
                Route("/healthz", self.health),
            ]
        )

    async def health(self, _: Request) -> Response:
        """Tells whether the node takes requests."""
        own = self.membership.table.own
        return JSONResponse({"state": own.state, "version": own.version})

    async def announce(self, request: Request) -> Response:
        """Takes an announcement of the target."""
        try:
            target = _target(await request.json())
        except (ValueError, KeyError, SchemaError) as error:
            return JSONResponse({"error": str(error)}, _BAD_REQUEST)
        self.owner.set_target(target)
        own = self.membership.table.own
        changed = (own.upstream, own.slots) != (target.upstream, target.slots)
        starting = own.state == MemberState.STARTING.value
        ready = own.state == MemberState.READY.value
        if starting or (ready and changed):
            self.membership.table.update_own(
                state=MemberState.READY.value,
                upstream=target.upstream,
                slots=target.slots,
            )
            await self.membership.tell_all()
        return JSONResponse({"state": self.membership.table.own.state})

    async def drain(self, _: Request) -> Response:
        """Takes the target out of the mesh."""
        self.membership.table.update_own(state=MemberState.DRAINING.value)
        await self.membership.tell_all()
        return JSONResponse({"state": MemberState.DRAINING.value})


def _target(document: dict[str, object]) -> Target:
    slots = document["slots"]
    if not isinstance(slots, int) or slots < 1:
        raise ValueError("slots must be a whole number above 0")
    address = str(document["address"])
    parse_address(address)
    return Target(str(document["upstream"]), address, slots)
