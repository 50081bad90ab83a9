"""Runs a node's part in roll-outs."""

import asyncio
import logging
from collections.abc import Coroutine

import attrs

from pomelobank_node._long_lived import start_long_lived
from pomelobank_node._owner import Owner
from pomelobank_node.rollouts._answers import TargetAnswers
from pomelobank_node.rollouts._exposure import Exposure
from pomelobank_node.rollouts._judging import Judging
from pomelobank_node.rollouts._promotion import Promotions
from pomelobank_node.rollouts._registry import RolloutRegistry
from pomelobank_node.rollouts._statuses import StatusWriter
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    AnswerReport,
    PromotionAck,
    PromotionStep,
    RolloutSync,
)

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Interval between the reports of a target, and between two evaluations. With
# some 20 answers of an unproven revision per second, each evaluation sees a few
# new ones.
REPORT_INTERVAL_MS = 250


@attrs.define(eq=False)
class RolloutService:
    """Reports the target's answers, judges revisions and stores the states.

    Without a running roll-out, its tasks wait and nothing is counted or sent.

    Attributes:
        registry: The known roll-outs.
        owner: Runs requests on the node's target.
        writer: Stores the states of roll-outs.
        exposure: Chooses revisions for this node's requests.
        answers: Counts the target's answers.
        judging: The roll-outs that this node judges.
        promotions: The last steps of roll-outs.
        loading: Whether the stored states are being read.
        rollout_running: Set while a roll-out is running.
        tasks: Running background tasks.
    """

    registry: RolloutRegistry
    owner: Owner
    writer: StatusWriter
    exposure: Exposure
    answers: TargetAnswers = attrs.field(init=False)
    judging: Judging = attrs.field(init=False)
    promotions: Promotions = attrs.field(init=False)
    loading: bool = False
    rollout_running: asyncio.Event = attrs.field(factory=asyncio.Event)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        registry = self.registry
        self.answers = TargetAnswers(registry.table.own.node, registry.rollouts)
        self.judging = Judging(
            registry.table,
            registry.rollouts,
            registry.clock,
            registry.decide,
        )
        self.promotions = Promotions(
            registry.table,
            registry.rollouts,
            self.exposure,
            self.owner,
            self.judging,
            registry.clock,
            registry.post,
            registry.decide,
        )
        self.judging.is_held = self.promotions.is_held
        registry.on_changed.append(self._on_changed)
        registry.load_statuses = self._load_statuses
        registry.stored_digest = lambda: self.writer.stored_digest
        self.owner.answers = self.answers
        self.owner.is_condemned = registry.is_condemned

    async def start(self) -> None:
        """Starts the background tasks."""
        self._track(start_long_lived(self._report_and_judge, "rollouts-judge"))
        self._track(start_long_lived(self._store_statuses, "rollouts-store"))

    async def stop(self) -> None:
        """Cancels the background tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.registry.stop()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        self._track(asyncio.create_task(work))

    def _track(self, task: asyncio.Task[None]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _on_changed(self) -> None:
        if self.judging.running():
            self.rollout_running.set()
        else:
            self.rollout_running.clear()
        self.writer.due.set()
        self.owner.reject_if_condemned()

    def _load_statuses(self) -> bool:
        """Returns whether the statuses were read; starts to read them if not.

        The order of a roll-out may be gone from the source, or be older than
        its verdict, which only the status then tells.
        """
        if not self.writer.loaded and not self.loading:
            self.loading = True
            self._spawn(self._read_statuses())
        return self.writer.loaded

    async def _read_statuses(self) -> None:
        self.registry.add_statuses(await self.writer.read())
        self.loading = False

    async def _report_and_judge(self) -> None:
        while True:
            await self.rollout_running.wait()
            try:
                self._send_reports()
                self.judging.evaluate()
                self.promotions.lead()
            except Exception:
                # The next roll-out, and the other nodes' reports, still need
                # this task.
                _logger.exception("rollout.not_judged")
            await asyncio.sleep(REPORT_INTERVAL_MS / _MS_PER_S)

    def _send_reports(self) -> None:
        reports = self.answers.reports()
        for rollout in self.judging.running():
            nodes = self.judging.judging_nodes(rollout)
            for report in reports:
                if report.upstream != rollout.upstream:
                    continue
                for entry in nodes:
                    self._send_report(entry.node, entry.peer_address, report)

    def _send_report(
        self, node: str, address: str, report: AnswerReport
    ) -> None:
        if node == self.registry.table.own.node:
            self.judging.add(report)
        else:
            self.registry.post(address, report)

    async def _store_statuses(self) -> None:
        while True:
            stored = await self.writer.store_when_due()
            self.registry.add_statuses(stored)
            if self.writer.is_stored:
                # The other nodes then need not look.
                self.registry.broadcast()

    # Frames of peers.

    def receive(self, frame: WireMessage) -> None:
        """Handles a peer's frame about roll-outs."""
        if isinstance(frame, AnswerReport):
            self.judging.add(frame)
        elif isinstance(frame, RolloutSync):
            self.registry.receive(frame)
            self.writer.on_stored(frame.stored_digest)
        elif isinstance(frame, PromotionStep):
            self.promotions.receive_step(frame)
        elif isinstance(frame, PromotionAck):
            self.promotions.receive_ack(frame)
