"""Limits the rate of each workspace with tokens leased from its authority."""

import asyncio
import functools
import logging
import random
from collections.abc import Coroutine
from typing import Any

import attrs

from pomelobank_core import Clock, ErrorKind, MemberTable
from pomelobank_core.workspaces import (
    SHARDS,
    UNABLE,
    UNABLE_MS,
    UNREACHABLE_MS,
    CapActivity,
    CapAuthority,
    CapEvent,
    CapMembers,
    CapRules,
    CapVoters,
    Grant,
    LeasedTokens,
    Workspace,
    WorkspaceTable,
    shard_of,
)
from pomelobank_node._long_lived import start_long_lived
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import RequestError
from pomelobank_node.workspaces._cap_votes import CapVotes
from pomelobank_node.workspaces._capped_entry import CappedEntry
from pomelobank_node.workspaces._gate import WorkspacesInForce
from pomelobank_node.workspaces._voter_log import VoterLog, VoterStore
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    TokenGrant,
    TokenRequest,
    VoteReply,
    VoteRequest,
)
from pomelobank_schema.generated.settings import WorkspaceSettings

_logger = logging.getLogger(__name__)

# Maximum number of requests of a workspace that wait for a grant at this node.
# A workspace that floods sends some 100 requests to a node in the longest wait
# for an authority; more would only use memory.
MAX_WAITING = 256
# Grants in a row of which no request got a token, because their leases had
# ended. After so many of them the waiting requests are rejected.
_MAX_VOID_GRANTS = 3
# Time after which the state of an unused workspace is removed.
_IDLE_ENTRY_MS = 60_000
# Maximum number of workspaces with state at an entry node, about 3 MB.
MAX_ENTRIES = 10_000
# Range of the factor by which the time to wait is multiplied. Without it, the
# callers that were refused together would return together.
_JITTER = (1.0, 1.5)
# Time until an authority is probably found, for callers.
_UNAVAILABLE_RETRY_MS = 500
# Maximum number of concurrent tasks. Beyond it, no request of a peer is passed
# on.
_MAX_TASKS = 1000
# Interval in which an authority renews its votes. A vote outlasts two renewals
# that are lost.
ROUND_MS = 300
# Time in which a member replies to a request, also if it passes the request on,
# or counts as unreachable. A grant that comes later is used all the same.
GRANT_TIMEOUT_MS = 250
# The same for a request that this node passes on.
RELAY_TIMEOUT_MS = 150
# Time in which votes that no other node holds arrive.
_SUPPORT_TIMEOUT_MS = 50
# Shortest time between two log lines with the counts of workspaces.
_ACTIVITY_MS = 1000
_MS_PER_S = 1000


@attrs.frozen(eq=False)
class OverdueRequest:
    """A request for tokens that got no reply in time.

    Attributes:
        entry: The workspace at this entry node.
        sent_ms: Time of the sending.
        node: The member that was asked.
    """

    entry: CappedEntry
    sent_ms: int
    node: str


@attrs.define(eq=False)
class LeasedUsageCaps:
    """Holds the usage caps of the configuration in force.

    The node is an entry, which leases tokens, and the authority of some
    workspaces, which grants them.

    Attributes:
        table: The members known to this node.
        links: Streams to peers.
        store: Holds the configuration in force.
        clock: Monotonic clock.
        settings: How far windows may exceed the caps.
        rng: Source of randomness.
        entries: State of workspaces by name, the least recently used first.
        voter_store: Holds the voters.
        pending: Requests for tokens that are under way, by number.
        overdue: Requests without a reply in time, whose grant is used if it
            still comes, by number.
        last_request_id: Number of the last request sent.
        refused: Requests refused at this entry because a cap was reached.
        unavailable: Requests rejected because no authority was reached.
        unanswered: Requests for tokens that got no grant in time.
        authority_changes: How often another authority than before replied.
        known_authorities: Node that last granted or refused, by shard.
        activity: Counts of tokens and runs by workspace.
        activity_ms: Time of the last log line with these counts.
        is_available: Whether the last requests for tokens found an authority.
        fractions: Parts of the caps that this node may grant, by shard, as
            last logged.
        votes: The votes that this node gives and gets.
        voter_log: Keeps the voters up to date.
    """

    table: MemberTable
    links: PeerLinks
    store: WorkspacesInForce
    clock: Clock
    voter_store: VoterStore
    settings: WorkspaceSettings = attrs.field(factory=WorkspaceSettings)
    rng: random.Random = attrs.field(factory=random.Random)
    entries: dict[str, CappedEntry] = attrs.field(factory=dict)
    pending: dict[int, asyncio.Future[Grant]] = attrs.field(factory=dict)
    overdue: dict[int, OverdueRequest] = attrs.field(factory=dict)
    last_request_id: int = 0
    refused: int = 0
    unavailable: int = 0
    unanswered: int = 0
    authority_changes: int = 0
    known_authorities: dict[int, str] = attrs.field(factory=dict)
    activity: CapActivity = attrs.field(factory=CapActivity)
    activity_ms: int = 0
    is_available: bool = True
    fractions: dict[int, float] = attrs.field(factory=dict)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    checked_table: WorkspaceTable | None = None
    checked_limits: bool = False
    rules: CapRules = attrs.field(init=False)
    members: CapMembers = attrs.field(init=False)
    authority: CapAuthority = attrs.field(init=False)
    votes: CapVotes = attrs.field(init=False)
    voter_log: VoterLog = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.rules = CapRules(
            settings.cap_window_s, settings.cap_over, settings.cap_slack
        )
        self.members = CapMembers(self.table, self.clock.now_ms())
        self.authority = CapAuthority(self.rules, self.members, self.activity)
        self.voter_log = VoterLog(
            self.voter_store,
            self.members,
            self.clock,
            self._set_voters,
            self.rng,
        )
        self.votes = CapVotes(
            self.table,
            self.members,
            self.authority,
            self.clock,
            self._send,
            self.voter_log,
        )

    def _set_voters(self, voters: CapVoters, confirmed_ms: int) -> None:
        self.authority.set_voters(voters, confirmed_ms, self.clock.now_ms())

    async def start(self) -> None:
        """Starts to collect votes as an authority, and to read the voters."""
        self._track(start_long_lived(self._run_rounds, "usage-caps"))
        self._track(start_long_lived(self._follow_voters, "usage-cap-voters"))

    def begin_stop(self) -> None:
        """Passes this node's vote on to another member."""
        if self.has_limits():
            self._spawn(self.votes.leave(), "usage-caps-leave")

    def resign(self) -> None:
        """Leaves the caps to other members, because this node ends soon."""
        self.votes.release_all()

    async def stop(self) -> None:
        """Rejects waiting requests and ends all tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for entry in self.entries.values():
            entry.fail_waiting(ErrorKind.DRAINING, _UNAVAILABLE_RETRY_MS)

    def _spawn(
        self, work: Coroutine[Any, Any, None], name: str
    ) -> asyncio.Task[None]:
        return self._track(asyncio.create_task(work, name=name))

    def _track(self, task: asyncio.Task[None]) -> asyncio.Task[None]:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Requests of callers.

    async def take(self, workspace: Workspace) -> None:
        """Counts one request of a workspace.

        Raises:
            RequestError: USAGE_CAP if the workspace has reached its cap, or
                CAP_UNAVAILABLE if no authority can be reached.
        """
        if workspace.rate_per_s <= 0:
            return
        now_ms = self.clock.now_ms()
        entry = self._entry(workspace)
        entry.tokens.note_demand(now_ms)
        if not entry.waiting and entry.tokens.take(now_ms):
            self.activity.add(workspace.name, CapEvent.USED)
            if entry.tokens.prefetch(now_ms):
                self._fetch(entry)
            return
        if entry.tokens.is_refused(now_ms) or len(entry.waiting) >= MAX_WAITING:
            self.refused += 1
            retry_after_ms = self._retry_after_ms(entry, now_ms)
            raise RequestError(ErrorKind.USAGE_CAP, retry_after_ms)
        await self._wait_for_token(entry)

    async def _wait_for_token(self, entry: CappedEntry) -> None:
        waiter: asyncio.Future[None]
        waiter = asyncio.get_running_loop().create_future()
        entry.waiting.append(waiter)
        self._fetch(entry)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                # The caller went away just as the token arrived.
                self.give_back(entry.workspace)
            raise

    def give_back(self, workspace: Workspace) -> None:
        """Cancels the count of a request that did not run."""
        entry = self.entries.get(workspace.name)
        if entry is None:
            return
        if entry.tokens.give_back(self.clock.now_ms()):
            self.activity.add(workspace.name, CapEvent.GIVEN_BACK)

    def on_runs(self, workspace: Workspace, runs: int) -> None:
        """Notes how many attempts of a request may have run."""
        if workspace.rate_per_s > 0:
            self.activity.add_runs(workspace.name, runs)

    def _entry(self, workspace: Workspace) -> CappedEntry:
        entry = self.entries.pop(workspace.name, None)
        if entry is None:
            entry = CappedEntry(workspace, LeasedTokens(self.rules.lease_ms))
        entry.workspace = workspace
        # The newest entry is the last one, so the first is the one to remove.
        self.entries[workspace.name] = entry
        if len(self.entries) > MAX_ENTRIES:
            self._remove_entry(next(iter(self.entries)))
        return entry

    def _remove_entry(self, name: str) -> None:
        entry = self.entries.pop(name)
        entry.fail_waiting(ErrorKind.USAGE_CAP, _UNAVAILABLE_RETRY_MS)

    def _retry_after_ms(self, entry: CappedEntry, now_ms: int) -> int:
        factor = self.rng.uniform(*_JITTER)
        return int(entry.tokens.wait_ms(now_ms) * factor) + 1

    # Requests for tokens.

    def _fetch(self, entry: CappedEntry) -> None:
        if entry.fetching is None or entry.fetching.done():
            entry.fetching = self._spawn(
                self._fetch_tokens(entry), "usage-caps-fetch"
            )

    async def _fetch_tokens(self, entry: CappedEntry) -> None:
        # A partial grant is followed by a request whose refusal names the time
        # to wait, and other requests may have come while a grant was under way.
        void_grants = 0
        while void_grants < _MAX_VOID_GRANTS:
            now_ms = self.clock.now_ms()
            wanted = entry.tokens.wanted(len(entry.waiting), now_ms)
            if not wanted:
                return
            served = await self._request(entry, wanted)
            if not entry.waiting:
                return
            void_grants = 0 if served else void_grants + 1
        self._reject_unavailable(entry)

    async def _request(self, entry: CappedEntry, wanted: int) -> int:
        """Requests tokens once; rejects the waiting requests if none come.

        Returns:
            The number of waiting requests that got a token.
        """
        sent_ms = self.clock.now_ms()
        grant = UNABLE
        shard = shard_of(entry.workspace.name)
        for node in self.members.candidates(shard, sent_ms):
            sent_ms = self.clock.now_ms()
            reply = await self._ask(node, entry, wanted)
            grant = reply or UNABLE
            if grant.is_able:
                self._note_authority(shard, grant.authority or node)
                break
            self._pass_over(node, reply)
        now_ms = self.clock.now_ms()
        if not grant.is_able:
            self._reject_unavailable(entry)
            return 0
        self._set_available(is_available=True)
        entry.tokens.on_grant(
            grant.tokens, sent_ms, grant.valid_ms, grant.wait_ms, now_ms
        )
        served = entry.serve_waiting(now_ms)
        self.activity.add(entry.workspace.name, CapEvent.USED, served)
        if not grant.tokens:
            self.refused += entry.fail_waiting(
                ErrorKind.USAGE_CAP, self._retry_after_ms(entry, now_ms)
            )
        return served

    def _reject_unavailable(self, entry: CappedEntry) -> None:
        self._set_available(is_available=False)
        # After a restart of all nodes, a caller that returned before the nodes
        # give votes would be rejected again.
        gives_in_ms = self.votes.book.gives_from_ms - self.clock.now_ms()
        retry_after_ms = max(_UNAVAILABLE_RETRY_MS, gives_in_ms + ROUND_MS)
        self.unavailable += entry.fail_waiting(
            ErrorKind.CAP_UNAVAILABLE,
            int(retry_after_ms * self.rng.uniform(*_JITTER)),
        )

    def _pass_over(self, node: str, reply: Grant | None) -> None:
        now_ms = self.clock.now_ms()
        pause_ms = UNREACHABLE_MS if reply is None else UNABLE_MS
        self.members.pass_over(node, now_ms + pause_ms, now_ms)

    async def _ask(
        self, node: str, entry: CappedEntry, wanted: int
    ) -> Grant | None:
        """Asks a member for tokens; returns None if it does not reply."""
        name = entry.workspace.name
        if node == self.members.own:
            return await self._grant_or_relay(name, wanted)
        frame = self._token_request(name, wanted)
        sent_ms = self.clock.now_ms()
        grant = await self._send_request(node, frame, GRANT_TIMEOUT_MS)
        if grant is None:
            self.unanswered += 1
            self.overdue[frame.request_id] = OverdueRequest(
                entry, sent_ms, node
            )
        return grant

    def _token_request(
        self, name: str, wanted: int, is_relayed: bool = False
    ) -> TokenRequest:
        return TokenRequest(
            request_id=self._next_request_id(),
            workspace=name,
            tokens=wanted,
            address=self.table.own.peer_address,
            is_relayed=is_relayed,
        )

    async def _send_request(
        self, node: str, frame: TokenRequest, timeout_ms: int
    ) -> Grant | None:
        member = self.members.eligible.get(node)
        if member is None:
            # The member was lost while another one was asked.
            return None
        reply: asyncio.Future[Grant]
        reply = asyncio.get_running_loop().create_future()
        self.pending[frame.request_id] = reply
        self._send(member.peer_address, frame)
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return await reply
        except TimeoutError:
            return None
        finally:
            del self.pending[frame.request_id]

    def _next_request_id(self) -> int:
        self.last_request_id += 1
        return self.last_request_id

    def _note_authority(self, shard: int, node: str) -> None:
        known = self.known_authorities.get(shard, node)
        self.authority_changes += node != known
        self.known_authorities[shard] = node
        self.members.set_authority(shard, node)

    def _set_available(self, is_available: bool) -> None:
        if is_available == self.is_available:
            return
        self.is_available = is_available
        _logger.warning(
            "caps.available" if is_available else "caps.unavailable",
            extra={
                "members": self.members.count(),
                "unanswered": self.unanswered,
            },
        )

    # The authority.

    def _grant(self, name: str, wanted: int) -> Grant:
        workspace = self.store.workspaces.by_name.get(name)
        if workspace is None:
            # This node has an older or newer configuration than the entry.
            return UNABLE
        if workspace.rate_per_s <= 0:
            return Grant(wanted, self.rules.lease_ms, 0, self.members.own)
        grant = self.authority.grant(workspace, wanted, self.clock.now_ms())
        shard = shard_of(name)
        if grant.is_able and not self.members.is_first(shard):
            self.votes.want(shard)
        return grant

    async def _grant_or_relay(
        self, name: str, wanted: int, relayed_by: str = ""
    ) -> Grant:
        """Grants tokens, or gets them from the authority that this node sees.

        A node that cannot reach the authority, or that regards another one as
        the authority, gets tokens in this way without a second authority.

        Args:
            name: Name of the workspace.
            wanted: Number of tokens.
            relayed_by: Address of the node that passed the request on; empty
                if none did.
        """
        grant = self._grant(name, wanted)
        if grant.is_able:
            return grant
        shard = shard_of(name)
        first = self._first_candidate(shard)
        if relayed_by and self._address(first) == relayed_by:
            self._pass_over(first, None)
            first = self._first_candidate(shard)
        if first != self.members.own:
            if relayed_by or not first:
                return UNABLE
            frame = self._token_request(name, wanted, is_relayed=True)
            reply = await self._send_request(first, frame, RELAY_TIMEOUT_MS)
            if reply is not None and reply.is_able:
                self._note_authority(shard, reply.authority)
                return reply
            self._pass_over(first, reply)
        self.votes.want(shard)
        await self.votes.wait_for_support(shard, _SUPPORT_TIMEOUT_MS)
        return self._grant(name, wanted)

    def _first_candidate(self, shard: int) -> str:
        candidates = self.members.candidates(shard, self.clock.now_ms())
        return candidates[0] if candidates else ""

    def _address(self, node: str) -> str:
        entry = self.members.eligible.get(node)
        return entry.peer_address if entry else ""

    async def _follow_voters(self) -> None:
        await self._wait_for_limits()
        await self.voter_log.run()

    async def _wait_for_limits(self) -> None:
        while True:
            # Read before the check, so that no change is missed.
            changed = self.store.changed
            if self.has_limits():
                return
            await changed.wait()

    async def _run_rounds(self) -> None:
        while True:
            await self._wait_for_limits()
            now_ms = self.clock.now_ms()
            self.members.refresh(now_ms)
            self.authority.tick(now_ms)
            self.votes.run_round(now_ms)
            self._remove_idle_entries(now_ms)
            self._log_activity(now_ms)
            self._log_fractions(now_ms)
            await asyncio.sleep(ROUND_MS / _MS_PER_S)

    def has_limits(self) -> bool:
        """Tells whether the configuration in force limits any workspace."""
        table = self.store.workspaces
        if table is not self.checked_table:
            self.checked_table = table
            self.checked_limits = any(
                item.rate_per_s > 0 for item in table.by_name.values()
            )
        return self.checked_limits

    def _remove_idle_entries(self, now_ms: int) -> None:
        while self.entries:
            name, entry = next(iter(self.entries.items()))
            if now_ms - entry.tokens.used_ms < _IDLE_ENTRY_MS:
                break
            self._remove_entry(name)
        since_ms = now_ms - self.rules.lease_ms
        self.overdue = {
            request_id: request
            for request_id, request in self.overdue.items()
            if request.sent_ms > since_ms
        }

    def _log_activity(self, now_ms: int) -> None:
        period_ms = now_ms - self.activity_ms
        if period_ms < _ACTIVITY_MS:
            return
        self.activity_ms = now_ms
        for name, entry in self.entries.items():
            void = entry.tokens.take_void(now_ms)
            self.activity.add(name, CapEvent.VOID, void)
        workspaces = self.activity.take()
        if workspaces:
            _logger.info(
                "caps.activity",
                extra={"period_ms": period_ms, "workspaces": workspaces},
            )

    def _log_fractions(self, now_ms: int) -> None:
        for shard in range(SHARDS):
            fraction = self.authority.fraction(shard, now_ms)
            if fraction == self.fractions.get(shard, 0.0):
                continue
            self.fractions[shard] = fraction
            voters = self.authority.voters
            _logger.info(
                "caps.whole" if fraction >= 1 else "caps.divided",
                extra={
                    "shard": shard,
                    "fraction": round(fraction, 2),
                    "epoch": voters.epoch if voters else 0,
                },
            )

    # Frames of peers.

    def receive(self, frame: WireMessage) -> None:
        """Handles a peer's frame about tokens."""
        handle_frame(frame, self)

    def handle_request(self, frame: TokenRequest) -> None:
        """Grants tokens, or gets them from another member."""
        grant = UNABLE
        if frame.tokens > 0:
            grant = self._grant(frame.workspace, frame.tokens)
        if grant.is_able or frame.tokens <= 0:
            self._reply(frame, grant)
        elif len(self.tasks) < _MAX_TASKS:
            self._spawn(self._relay(frame), "usage-caps-relay")

    async def _relay(self, frame: TokenRequest) -> None:
        relayed_by = frame.address if frame.is_relayed else ""
        grant = await self._grant_or_relay(
            frame.workspace, frame.tokens, relayed_by
        )
        self._reply(frame, grant)

    def _reply(self, frame: TokenRequest, grant: Grant) -> None:
        reply = TokenGrant(
            request_id=frame.request_id,
            tokens=grant.tokens,
            valid_ms=grant.valid_ms,
            wait_ms=grant.wait_ms,
            authority=grant.authority,
        )
        self._send(frame.address, reply)

    def handle_grant(self, frame: TokenGrant) -> None:
        """Passes a grant on to the request that waits for it."""
        grant = Grant(
            frame.tokens, frame.valid_ms, frame.wait_ms, frame.authority
        )
        reply = self.pending.get(frame.request_id)
        if reply is not None and not reply.done():
            reply.set_result(grant)
            return
        overdue = self.overdue.pop(frame.request_id, None)
        if overdue is None:
            return
        self.members.unreachable_until_ms.pop(overdue.node, None)
        if grant.tokens:
            self._use_overdue(overdue, grant)

    def _use_overdue(self, request: OverdueRequest, grant: Grant) -> None:
        now_ms = self.clock.now_ms()
        entry = request.entry
        entry.tokens.on_grant(
            grant.tokens, request.sent_ms, grant.valid_ms, 0, now_ms
        )
        served = entry.serve_waiting(now_ms)
        self.activity.add(entry.workspace.name, CapEvent.USED, served)

    def _send(self, address: str, frame: WireMessage) -> None:
        if address and not self.links.to(address).send_if_open(frame):
            self._spawn(self._deliver(address, frame), "usage-caps-send")

    async def _deliver(self, address: str, frame: WireMessage) -> None:
        try:
            await self.links.to(address).send(frame)
        except RequestError:
            # The sender of the frame sees a time-out.
            return


@functools.singledispatch
def handle_frame(frame: WireMessage, caps: LeasedUsageCaps) -> None:
    """Dispatches a frame by type; ignores other types."""


@handle_frame.register
def _(frame: TokenRequest, caps: LeasedUsageCaps) -> None:
    caps.handle_request(frame)


@handle_frame.register
def _(frame: TokenGrant, caps: LeasedUsageCaps) -> None:
    caps.handle_grant(frame)


@handle_frame.register
def _(frame: VoteRequest, caps: LeasedUsageCaps) -> None:
    caps.votes.handle_request(frame)


@handle_frame.register
def _(frame: VoteReply, caps: LeasedUsageCaps) -> None:
    caps.votes.handle_reply(frame)
