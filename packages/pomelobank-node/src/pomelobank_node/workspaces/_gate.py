"""Checks the API key and the usage cap of each request of a caller."""

import asyncio
import random
from typing import Protocol

import attrs

from pomelobank_core import (
    ERROR_RESPONSES,
    Clock,
    ErrorKind,
    MemberTable,
    RunState,
)
from pomelobank_core.workspaces import (
    Anonymous,
    Rejected,
    RejectionReason,
    Workspace,
    WorkspaceTable,
    identify,
    request_rank,
)
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._requests import AdmittedCall, Headers, RequestError
from pomelobank_node._tracing import current_trace
from pomelobank_node.workspaces._checks import (
    KeyFreshness,
    UncappedUsage,
    UncheckedFreshness,
    UsageCaps,
)
from pomelobank_node.workspaces._usage import WorkspaceUsage
from pomelobank_schema.generated.records import RouteObject

AUTHORIZATION = b"authorization"
# Retry-After of a request whose key may belong to a newer configuration. A node
# that has heard of a newer version pulls it after at most 120 ms within its
# data centre, and most pulls between data centres end within this time.
NEWER_VERSION_RETRY_AFTER_MS = 250
_SEED_BITS = 64
# Length of the part of a key's digest in log lines: enough to tell which of
# some thousand keys a caller used, too short to recover a key.
_LOGGED_DIGEST_BYTES = 4


class WorkspacesInForce(Protocol):
    """The workspaces of the configuration in force."""

    @property
    def workspaces(self) -> WorkspaceTable:
        """The workspace table."""

    @property
    def version(self) -> int:
        """Configuration version of the table."""

    @property
    def changed(self) -> asyncio.Event:
        """Set once a newer configuration is in force."""


class IncomingCall(Protocol):
    """The part of a caller's request that the gate reads."""

    @property
    def received(self) -> Headers:
        """Headers of the head as the caller sent them."""

    @property
    def headers(self) -> Headers:
        """Headers to forward."""

    @property
    def trace_id(self) -> str:
        """Id of the request."""


@attrs.define(eq=False)
class WorkspaceGate:
    """Checks identity, freshness of the keys and usage cap, in this order.

    Attributes:
        store: Holds the workspaces in force.
        members: Members of the mesh, whose gossip tells of newer versions.
        clock: The node's clock.
        http_conventions: Name of the header that names the workspace.
        freshness: Tells whether the node may accept keys at all.
        usage_caps: Counts the requests of each workspace.
        lottery_seed: Seed of the ranks' lottery.
        usage: Counts for the metrics.
        newest_version: Newest version in the members' gossip, as of
            `newest_version_revision` of the member table.
        newest_version_revision: Revision of the member table at which
            `newest_version` was determined.
    """

    store: WorkspacesInForce
    members: MemberTable
    clock: Clock
    http_conventions: HttpConventions = attrs.field(factory=HttpConventions)
    freshness: KeyFreshness = attrs.field(factory=UncheckedFreshness)
    usage_caps: UsageCaps = attrs.field(factory=UncappedUsage)
    lottery_seed: int = attrs.field(
        factory=lambda: random.getrandbits(_SEED_BITS)
    )
    usage: WorkspaceUsage = attrs.field(factory=WorkspaceUsage)
    newest_version: int = 0
    newest_version_revision: int = -1

    @property
    def enabled(self) -> bool:
        """Whether the configuration in force names workspaces."""
        return self.store.workspaces.enabled

    async def admit(
        self, route: RouteObject, call: IncomingCall
    ) -> AdmittedCall:
        """Decides whether a request may run, and as whose request.

        The result must be passed to `on_not_run` if the request has not run.

        Args:
            route: The request's route.
            call: The request.

        Raises:
            RequestError: UNAUTHENTICATED, STALE_CONFIGURATION, or an error of
                the usage cap; the request has not run.
        """
        table = self.store.workspaces
        if not table.enabled:
            return AdmittedCall(None, call.headers, route.priority)
        authorization = [
            value for name, value in call.received if name == AUTHORIZATION
        ]
        caller = identify(authorization, route.allow_anonymous, table)
        if isinstance(caller, Rejected):
            raise self._rejection(caller)
        workspace = None if isinstance(caller, Anonymous) else caller
        if workspace is not None:
            await self._check(workspace)
        return AdmittedCall(
            workspace,
            self._forwarded_headers(call.headers, workspace),
            request_rank(
                workspace, route.priority, call.trace_id, self.lottery_seed
            ),
        )

    async def _check(self, workspace: Workspace) -> None:
        current_trace().workspace = workspace.name
        now_ms = self.clock.now_ms()
        if not self.freshness.accepts_keys(now_ms):
            self.usage.on_rejected(workspace.name)
            retry_after_ms = self.freshness.retry_after_ms(now_ms)
            raise RequestError(
                ErrorKind.STALE_CONFIGURATION, retry_after_ms or None
            )
        try:
            await self.usage_caps.take(workspace)
        except RequestError:
            self.usage.on_rejected(workspace.name)
            raise
        self.usage.on_accepted(workspace.name)

    def on_not_run(self, admitted: AdmittedCall, kind: ErrorKind) -> None:
        """Cancels the count of an admitted request that ended with an error.

        Does nothing if the request may have run.
        """
        workspace = admitted.workspace
        if workspace is None:
            return
        if ERROR_RESPONSES[kind].run_state is RunState.NOT_RUN:
            self.usage_caps.give_back(workspace)

    def on_ended(self, admitted: AdmittedCall, runs: int) -> None:
        """Notes how many attempts of an admitted request may have run."""
        if admitted.workspace is not None:
            self.usage_caps.on_runs(admitted.workspace, runs)

    def _rejection(self, rejected: Rejected) -> RequestError:
        reason = rejected.reason.value
        trace = current_trace()
        trace.rejection_reason = reason
        trace.key_digest = rejected.digest[:_LOGGED_DIGEST_BYTES].hex()
        is_unknown = rejected.reason is RejectionReason.UNKNOWN
        if is_unknown and self._knows_newer_version():
            self.usage.on_unknown_in_old_version()
            return RequestError(
                ErrorKind.STALE_CONFIGURATION, NEWER_VERSION_RETRY_AFTER_MS
            )
        self.usage.on_unauthenticated(rejected.reason)
        return RequestError(ErrorKind.UNAUTHENTICATED, reason=reason)

    def _knows_newer_version(self) -> bool:
        # Determined once for each change of the table, because a caller with
        # an unknown key may send thousands of requests.
        if self.newest_version_revision != self.members.revision:
            self.newest_version_revision = self.members.revision
            self.newest_version = max(
                (entry.version for entry in self.members.present()), default=0
            )
        return self.newest_version > self.store.version

    def _forwarded_headers(
        self, headers: Headers, workspace: Workspace | None
    ) -> Headers:
        name = self.http_conventions.workspace
        forwarded = [
            item
            for item in headers
            if item[0] != AUTHORIZATION and _with_hyphens(item[0]) != name
        ]
        if workspace is not None and name:
            forwarded.append((name, workspace.name.encode()))
        return forwarded


def _with_hyphens(name: bytes) -> bytes:
    # Common gateway interfaces (CGI, WSGI) don't distinguish hyphens from
    # underscores, so a target behind one would read `x_key` as `x-key`.
    return name.replace(b"_", b"-")
