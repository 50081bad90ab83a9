"""The node's own pages and its target's announcements."""

import json
import logging
from collections.abc import Mapping

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log import LogError
from pomelobank_node._target_watch import TargetWatch
from pomelobank_schema import SchemaError, SchemaErrorKind, build
from pomelobank_schema.generated.records import TargetAnnouncement

_logger = logging.getLogger(__name__)

_OK = 200
_BAD_REQUEST = 400
_UNAVAILABLE = 503
# An announcement is a few short fields.
_MAX_ANNOUNCEMENT_BYTES = 4096


@attrs.define(eq=False)
class AdminApi:
    """Pages for the platform and for the target beside the node.

    Attributes:
        target: Follows the target.
        store: Tells whether the node may serve callers.
        bad_announcements: Announcements that were refused, for the metrics.
    """

    target: TargetWatch
    store: ConfigStore
    bad_announcements: int = 0

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
        """Answers 200 while the node takes callers' requests, 503 otherwise."""
        own = self.target.membership.table.own
        document = {
            "state": own.state,
            "version": self.store.version,
            "serving": self.store.ready,
        }
        status = _OK if self.store.ready else _UNAVAILABLE
        return JSONResponse(document, status)

    async def announce(self, request: Request) -> Response:
        """Takes an announcement of the target."""
        try:
            announcement = parse_announcement(await request.body())
        except SchemaError as error:
            self.bad_announcements += 1
            return JSONResponse(_problem(error), _BAD_REQUEST)
        await self.target.handle_announcement(announcement)
        return self._state()

    async def drain(self, _: Request) -> Response:
        """Takes the target out of the mesh.

        It is out also where the answer is 503; that says only that a restart of
        the node may undo it, so the operator asks again.
        """
        try:
            await self.target.drain()
        except LogError as error:
            _logger.warning(
                "target.drain_not_kept", extra={"error": str(error)}
            )
            return JSONResponse(
                {"error": "not_kept", "message": str(error)}, _UNAVAILABLE
            )
        return self._state()

    def _state(self) -> Response:
        own = self.target.membership.table.own
        return JSONResponse({"state": own.state})


def parse_announcement(body: bytes) -> TargetAnnouncement:
    """Returns the announcement in a request's body.

    Raises:
        SchemaError: If the body is too large, not JSON, or one of its fields
            is wrong.
    """
    if len(body) > _MAX_ANNOUNCEMENT_BYTES:
        raise SchemaError(
            SchemaErrorKind.OUT_OF_RANGE, "", "the announcement is too large"
        )
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise SchemaError(
            SchemaErrorKind.MALFORMED, "", "the announcement is not JSON"
        ) from None
    return build(TargetAnnouncement, document)


def _problem(error: SchemaError) -> Mapping[str, str]:
    return {
        "error": error.kind.value,
        "field": error.field_path,
        "message": error.message,
    }
