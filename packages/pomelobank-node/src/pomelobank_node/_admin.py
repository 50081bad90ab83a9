"""The admin API: node health, target announcements and target drain."""

import json
import logging
from collections.abc import Mapping

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from pomelobank_node._config_store import ConfigStore
from pomelobank_node._target_watch import TargetWatch
from pomelobank_node.departures import DepartureNotKeptError
from pomelobank_schema import SchemaError, SchemaErrorKind, build
from pomelobank_schema.generated.records import TargetAnnouncement

_logger = logging.getLogger(__name__)

_OK = 200
_BAD_REQUEST = 400
_UNAVAILABLE = 503
# Upper bound of an announcement's body; an announcement has a few short fields.
_MAX_ANNOUNCEMENT_BYTES = 4096


@attrs.define(eq=False)
class AdminApi:
    """HTTP endpoints for the platform and for the target beside the node.

    Attributes:
        target: Applies announcements and drains to the node's own target.
        store: Holds the configuration version and whether the node may serve.
        bad_announcements: Number of announcements rejected as invalid, for the
            metrics.
    """

    target: TargetWatch
    store: ConfigStore
    bad_announcements: int = 0

    def application(self) -> Starlette:
        """Returns the ASGI application that serves the endpoints."""
        return Starlette(
            routes=[
                Route("/v1/target", self.announce, methods=["POST"]),
                Route("/v1/target/drain", self.drain, methods=["POST"]),
                Route("/healthz", self.health),
            ]
        )

    async def health(self, _: Request) -> Response:
        """Responds with 200 while the node may serve callers, 503 otherwise."""
        own = self.target.membership.table.own
        document = {
            "state": own.state,
            "version": self.store.version,
            "serving": self.store.ready,
        }
        status = _OK if self.store.ready else _UNAVAILABLE
        return JSONResponse(document, status)

    async def announce(self, request: Request) -> Response:
        """Applies an announcement that the target sent."""
        try:
            announcement = parse_announcement(await request.body())
        except SchemaError as error:
            self.bad_announcements += 1
            return JSONResponse(_error_document(error), _BAD_REQUEST)
        await self.target.handle_announcement(announcement)
        return self._state()

    async def drain(self, _: Request) -> Response:
        """Drains the target, so that other nodes send it no new requests.

        The target is drained even if the response is 503. That status means
        that the drain may be missing in the log or at the peers. A restart of
        the node may then undo the drain, so the operator should send the
        request again.
        """
        try:
            await self.target.drain()
        except DepartureNotKeptError as error:
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
    """Parses the announcement in a request's body.

    Raises:
        SchemaError: If the body is too large, not JSON, or one of its fields
            is wrong.
    """
    if len(body) > _MAX_ANNOUNCEMENT_BYTES:
        raise SchemaError(
            SchemaErrorKind.OUT_OF_RANGE,
            "",
            f"announcement is longer than {_MAX_ANNOUNCEMENT_BYTES} bytes",
        )
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise SchemaError(
            SchemaErrorKind.MALFORMED, "", "announcement is not valid JSON"
        ) from None
    return build(TargetAnnouncement, document)


def _error_document(error: SchemaError) -> Mapping[str, str]:
    return {
        "error": error.kind.value,
        "field": error.field_path,
        "message": error.message,
    }
