"""Holds the published configuration that is in force."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from pomelobank_core import RouteTable
from pomelobank_core.workspaces import WorkspaceTable
from pomelobank_node.callers import HttpLimits
from pomelobank_node.published._packing import DocumentHistory
from pomelobank_node.published._propagation import Propagation
from pomelobank_schema import SchemaError

_logger = logging.getLogger(__name__)


@attrs.frozen
class PublishedConfig:
    """A decoded configuration document.

    Attributes:
        routes: The document's routes, with the document's version.
        limits: Limits on callers' HTTP requests.
        workspaces: Workspaces with their keys and usage caps.
    """

    routes: RouteTable
    limits: HttpLimits
    workspaces: WorkspaceTable = attrs.field(factory=WorkspaceTable)

    @property
    def version(self) -> int:
        """The document's version."""
        return self.routes.version


Decoder = Callable[[bytes], PublishedConfig]


def _empty_config() -> PublishedConfig:
    return PublishedConfig(RouteTable(0, {}), HttpLimits())


@attrs.define(eq=False)
class PublishedStore:
    """Holds the configuration in force; its version never decreases.

    Documents come from the source and from peers: some late, some twice, and
    some from before the source lost its history. So the store compares versions
    and ignores the order of arrival. If the store applied an older document,
    the node would send requests to a service that the operator has moved them
    away from, and callers would get answers that alternate between two
    services.

    Attributes:
        decode: Decodes a document.
        config: The configuration in force.
        data: The document of that configuration, sent to peers.
        history: Earlier documents, as bases for deltas.
        propagation: Measures the way of each version to this node.
        ready: Whether any configuration is in force.
        changed: Set, and replaced by a new event, whenever a newer
            configuration comes into force.
        applied: Configurations that came into force, for the metrics.
        unreadable: Documents that could not be decoded, for the metrics.
        last_unreadable_hash: Hash of the last document that could not be
            decoded. The same document is logged only once in a row.
    """

    decode: Decoder
    config: PublishedConfig = attrs.field(factory=_empty_config)
    data: bytes = b""
    history: DocumentHistory = attrs.field(factory=DocumentHistory)
    propagation: Propagation = attrs.field(factory=Propagation)
    ready: bool = False
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    applied: int = 0
    unreadable: int = 0
    last_unreadable_hash: int = 0

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.config.version

    @property
    def routes(self) -> RouteTable:
        """Routes in force."""
        return self.config.routes

    def document(self, version: int) -> bytes:
        """Returns the document of a version; empty if it is not kept."""
        if self.ready and version == self.version:
            return self.data
        return self.history.get(version)

    def offer(self, data: bytes, origin: str, now_ms: int) -> bool:
        """Applies a document if it is valid and newer than the one in force.

        Args:
            data: The document.
            origin: `source` or the address of the sending peer, for the log.
            now_ms: Current time.

        Returns:
            Whether the document came into force.
        """
        if data == self.data:
            return False
        try:
            config = self.decode(data)
        except SchemaError as error:
            self._handle_unreadable(data, error, origin)
            return False
        if self.ready and config.version <= self.version:
            return False
        previous_version = self.version
        if self.ready:
            self.history.keep(previous_version, self.data)
        self.config = config
        self.data = data
        self.ready = True
        self.applied += 1
        _logger.info(
            "config.in_force",
            extra={
                "version": config.version,
                "before": previous_version,
                "origin": origin,
                "bytes": len(data),
                **self.propagation.on_in_force(now_ms),
            },
        )
        signal, self.changed = self.changed, asyncio.Event()
        signal.set()
        return True

    def _handle_unreadable(
        self, data: bytes, error: SchemaError, origin: str
    ) -> None:
        self.unreadable += 1
        digest = hash(data)
        if digest == self.last_unreadable_hash:
            return
        self.last_unreadable_hash = digest
        _logger.warning(
            "config.unreadable",
            extra={"origin": origin, "bytes": len(data), "error": str(error)},
        )
