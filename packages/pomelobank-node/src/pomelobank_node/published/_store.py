"""Holds the published configuration in force."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from pomelobank_core import RouteTable
from pomelobank_node.callers import HttpLimits
from pomelobank_node.published._packing import DocumentHistory
from pomelobank_schema import SchemaError

_logger = logging.getLogger(__name__)


@attrs.frozen
class PublishedConfig:
    """One configuration, whole.

    Attributes:
        routes: Its routes, with its version.
        limits: What callers may send.
    """

    routes: RouteTable
    limits: HttpLimits

    @property
    def version(self) -> int:
        """Its version."""
        return self.routes.version


Decoder = Callable[[bytes], PublishedConfig]


def _nothing() -> PublishedConfig:
    return PublishedConfig(RouteTable(0, {}), HttpLimits())


@attrs.define(eq=False)
class PublishedStore:
    """The node's one reference to the configuration; it never goes back.

    Documents come from the source and from peers, some late, some twice, and
    some from before the source lost its history. Only the version decides. One
    that went back would send requests where the operator no longer wants them,
    and a caller would notice by answers that alternate between two services.

    Attributes:
        decode: Reads a document.
        config: The configuration in force.
        data: Its document, for peers.
        history: Earlier documents.
        ready: Whether there is one.
        changed: Replaced and set whenever a newer one comes into force.
        applied: Configurations that came into force, for the metrics.
        unreadable: Documents that were passed over, for the metrics.
        bad: Digest of the last document that was passed over.
    """

    decode: Decoder
    config: PublishedConfig = attrs.field(factory=_nothing)
    data: bytes = b""
    history: DocumentHistory = attrs.field(factory=DocumentHistory)
    ready: bool = False
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    applied: int = 0
    unreadable: int = 0
    bad: int = 0

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.config.version

    @property
    def routes(self) -> RouteTable:
        """Routes in force."""
        return self.config.routes

    def document(self, version: int) -> bytes:
        """Returns the document of a version; empty where it is not kept."""
        if self.ready and version == self.version:
            return self.data
        return self.history.get(version)

    def offer(self, data: bytes, origin: str) -> bool:
        """Takes a document, if it is sound and newer than what is in force.

        Args:
            data: The document.
            origin: Who brought it, for the log.

        Returns:
            Whether it came into force.
        """
        if data == self.data:
            return False
        try:
            config = self.decode(data)
        except SchemaError as error:
            self._pass_over(data, error, origin)
            return False
        if self.ready and config.version <= self.version:
            return False
        before = self.version
        if self.ready:
            self.history.keep(before, self.data)
        self.config = config
        self.data = data
        self.ready = True
        self.applied += 1
        _logger.info(
            "config.in_force",
            extra={
                "version": config.version,
                "before": before,
                "origin": origin,
                "bytes": len(data),
            },
        )
        moved, self.changed = self.changed, asyncio.Event()
        moved.set()
        return True

    def _pass_over(self, data: bytes, error: SchemaError, origin: str) -> None:
        self.unreadable += 1
        digest = hash(data)
        if digest == self.bad:
            return
        self.bad = digest
        _logger.warning(
            "config.unreadable",
            extra={"origin": origin, "bytes": len(data), "error": str(error)},
        )
