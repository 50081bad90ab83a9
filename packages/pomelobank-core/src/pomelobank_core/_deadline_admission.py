"""Admission by rank and by the time in which an answer is of use."""

import math
import random
from collections.abc import Iterator

import attrs

from pomelobank_core._admission_request import (
    AdmissionDecision,
    AdmissionRequest,
    Queued,
    Rejected,
    Started,
)
from pomelobank_core._base_admission import MAX_ISOLATION_HOLD_MS, BaseAdmission
from pomelobank_core._brief_work import BriefWork
from pomelobank_core._concurrency import ConcurrencyLimit, SlotLimit
from pomelobank_core._errors import ErrorKind
from pomelobank_core._rank_load import Rank, RankLoad
from pomelobank_core._route_times import RouteTimes

# A running request that has taken its usual time already still takes a part of
# it, on average, because some requests take several times as long.
LEAST_LEFT = 0.2
# Part of the time left that a planned wait may take. Estimates are off by
# half for mixed work; beyond this most of those that wait are dropped in the
# end, later than if they had been refused at once.
WAIT_PART = 0.7
# Times the usual time that a request is planned with when it comes. Work of one
# route varies by a third; planned with its mean, half of what waits to the last
# moment is late.
SAFE_PART = 1.4
# Requests that are late already wait in numbers of up to a third of the slots:
# enough to use what a burst leaves over, without holding hundreds of requests
# to their deadlines while an overload lasts.
LATE_PART = 3
# Part of its time that a request waits at most, and one that was late already
# when it came: what is in time overtakes it all the while.
FULL_WAIT_PART = 1 / 2
LATE_WAIT_PART = 1 / 5
# Latest time to come back that a refused caller is told, before it is spread:
# loads are measured over a second, and further ahead nothing is known.
LONGEST_FORECAST_MS = 1000.0


@attrs.define
class DeadlineAdmission(BaseAdmission):
    """Slots and queue of one target, shared by rank and by time left.

    Made for a burst of look-ups that are of use within some hundred ms beside
    reports that may take seconds. First come, first served makes every
    look-up late for as long as the burst's queue stands; one notices by a
    target that is busy all the time with answers that are late. Here the most
    urgent rank goes first. Within a rank go those that can still be in time,
    the one with the least time to spare first; what is late already takes the
    slots that are left. A request that cannot end before its deadline is
    refused at once, while its caller can still go elsewhere. Brief requests go
    before longer ones of their priority and wait until their deadline.

    Attributes:
        limit: Requests tried at once.
        rng: Source of randomness.
        service_times: Measured service times.
        rank_load: Slot time that each rank was given lately.
        running: Requests at the target.
        queue: Waiting requests.
        brief_work: Tells which requests are short next to the others.
    """

    limit: ConcurrencyLimit | SlotLimit
    rng: random.Random = attrs.field(factory=random.Random)
    service_times: RouteTimes = attrs.field(factory=RouteTimes)
    rank_load: RankLoad = attrs.field(factory=RankLoad)
    running: set[AdmissionRequest] = attrs.field(factory=set)
    queue: list[AdmissionRequest] = attrs.field(factory=list)
    brief_work: BriefWork = attrs.field(init=False)

    @brief_work.default
    def _new_brief(self) -> BriefWork:
        return BriefWork(self.service_times)

    @property
    def in_flight(self) -> int:
        """Requests at the target."""
        return len(self.running)

    @property
    def queued(self) -> int:
        """Requests in the queue, without one that waits to run alone."""
        return len(self.queue)

    def _offer_shared(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        slots = self.limit.current
        ticket.brief = self.brief_work.is_brief(ticket.route, slots, now_ms)
        if (
            self.isolated_request is None
            and self._has_slot()
            and not self.queue
        ):
            self._take_in(ticket, now_ms)
            self._start(ticket, now_ms)
            return Started()
        wait_ms = self.wait_ms(ticket, now_ms)
        if wait_ms > ticket.max_wait_ms:
            return self._decline(wait_ms)
        if not ticket.brief and not self._can_be_in_time(
            ticket, wait_ms, now_ms
        ):
            # Behind everything that can be in time, from now on. Counted among
            # that, it would be found late only once its objective has passed,
            # with dozens of others, and be refused then: 431 of 2,388 at a
            # target that is asked for three times its work, 13 with this.
            ticket.past_objective = True
            wait_ms = self.wait_ms(ticket, now_ms)
        if self._would_give_up(ticket, wait_ms, now_ms) or (
            ticket.past_objective
            and not self._may_wait_late(ticket, wait_ms, now_ms)
        ):
            return self._reject(
                ErrorKind.OVERLOADED, self._return_ms(ticket, now_ms)
            )
        self._take_in(ticket, now_ms)
        self.queue.append(ticket)
        return Queued()

    def _take_in(self, ticket: AdmissionRequest, now_ms: float) -> None:
        rank = self._shared_rank(ticket, now_ms)
        self.rank_load.add(rank, self.expected_ms(ticket, now_ms), now_ms)

    def _shared_rank(self, ticket: AdmissionRequest, now_ms: float) -> Rank:
        return Rank(ticket.priority, self._is_late(ticket, now_ms))

    def _can_be_in_time(
        self, ticket: AdmissionRequest, wait_ms: float, now_ms: float
    ) -> bool:
        needed_ms = wait_ms + SAFE_PART * self.expected_ms(ticket, now_ms)
        return now_ms + needed_ms <= ticket.objective_at_ms

    def _would_give_up(
        self, ticket: AdmissionRequest, wait_ms: float, now_ms: float
    ) -> bool:
        return now_ms + wait_ms >= self.wait_deadline_ms(ticket)

    def _may_wait_late(
        self, ticket: AdmissionRequest, wait_ms: float, now_ms: float
    ) -> bool:
        # Under a lasting overload only what is in time gets slots, and a long
        # queue behind that would wait for its deadlines.
        late = sum(
            item.priority <= ticket.priority and self._is_late(item, now_ms)
            for item in self.queue
        )
        room_ms = ticket.deadline_ms - now_ms - self.expected_ms(ticket, now_ms)
        return late < self._may_be_late() and wait_ms <= WAIT_PART * room_ms

    def _return_ms(self, ticket: AdmissionRequest, now_ms: float) -> float:
        # When it comes back it is late, and what is in time goes before it.
        # Told the wait of a newcomer, it would meet the same refusal again.
        late = (ticket.priority, True, math.inf)
        return min(self._wait_ms(ticket, late, now_ms), LONGEST_FORECAST_MS)

    def expected_ms(self, ticket: AdmissionRequest, now_ms: float) -> float:
        """Returns the time that a request usually takes, as known now."""
        return self.service_times.expected_ms(ticket.route, now_ms)

    def expected_service_ms(self, route: str, now_ms: float) -> float:
        """Returns the time that a route's requests usually take."""
        return self.service_times.expected_ms(route, now_ms)

    def max_expected_service_ms(self, now_ms: float) -> float:
        """Returns the usual request time of the slowest route in ms."""
        return self.service_times.max_expected_ms(now_ms)

    def wait_deadline_ms(self, ticket: AdmissionRequest) -> float:
        """Returns when a waiting request is better refused after all.

        The target may stand still, and then nothing else ends the wait. A
        caller that is told at half its time can still go elsewhere; one that
        is late, when it came or since, waits for what a burst leaves over,
        which is soon there or not at all.
        """
        usual_ms = self.expected_ms(ticket, ticket.offered_ms)
        latest_ms = ticket.deadline_ms - usual_ms / 2
        if ticket.brief:
            return latest_ms
        room_ms = ticket.deadline_ms - ticket.offered_ms
        half_ms = ticket.offered_ms + FULL_WAIT_PART * room_ms
        late_ms = ticket.objective_at_ms - usual_ms
        if ticket.past_objective:
            late_ms = ticket.offered_ms
        late_room_ms = max(0.0, ticket.deadline_ms - late_ms)
        return min(latest_ms, half_ms, late_ms + LATE_WAIT_PART * late_room_ms)

    def wait_ms(self, ticket: AdmissionRequest, now_ms: float) -> float:
        """Returns how long a new request would wait for its slot."""
        return self._wait_ms(ticket, self._rank(ticket, now_ms), now_ms)

    def _wait_ms(
        self,
        ticket: AdmissionRequest,
        own: tuple[int, bool, float],
        now_ms: float,
    ) -> float:
        ahead_ms = sum(
            self.expected_ms(item, now_ms)
            for item in self.queue
            if self._rank(item, now_ms) <= own
        )
        slots = max(1, self.limit.current)
        queue_wait_ms = self._first_free_ms(now_ms) + ahead_ms / slots
        return self._wait_with_overtaking_ms(own, queue_wait_ms, now_ms)

    def _wait_with_overtaking_ms(
        self, own: tuple[int, bool, float], queue_wait_ms: float, now_ms: float
    ) -> float:
        slots = max(1, self.limit.current)
        rest = self.rank_load.available_fraction(
            Rank(own[0], own[1]), slots, now_ms
        )
        return queue_wait_ms / rest

    def _first_free_ms(self, now_ms: float) -> float:
        if self.isolated_request is None and self._has_slot():
            return 0.0
        left_ms = sum(self._left_ms(item, now_ms) for item in self.running)
        slots = max(1, self.limit.current)
        # Of n requests that end at any time up to twice their mean, the first
        # ends after 2 / (n + 1) of it.
        return left_ms / slots * 2 / (slots + 1)

    def _rank(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> tuple[int, bool, float]:
        if ticket.brief:
            return ticket.priority, False, -math.inf
        if self._is_late(ticket, now_ms):
            return ticket.priority, True, ticket.deadline_ms
        spare_ms = (
            ticket.objective_at_ms - now_ms - self.expected_ms(ticket, now_ms)
        )
        return ticket.priority, False, spare_ms

    def _is_late(self, ticket: AdmissionRequest, now_ms: float) -> bool:
        if ticket.brief:
            return False
        if ticket.past_objective:
            return True
        return ticket.objective_at_ms - now_ms < self.expected_ms(
            ticket, now_ms
        )

    def _left_ms(self, ticket: AdmissionRequest, now_ms: float) -> float:
        usual_ms = self.expected_ms(ticket, now_ms)
        taken_ms = now_ms - (ticket.started_ms or now_ms)
        return max(usual_ms - taken_ms, LEAST_LEFT * usual_ms)

    def _has_slot(self) -> bool:
        return self.in_flight < self.limit.current

    def _offer_isolated(
        self, ticket: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        # One at a time: several would empty the target for each in turn and
        # take it from the requests that are no danger. Behind long work, the
        # target would stand idle for seconds; the suspect comes back later.
        empty_ms = max(
            (self._left_ms(item, now_ms) for item in self.running), default=0.0
        )
        room_ms = min(ticket.deadline_ms - now_ms, MAX_ISOLATION_HOLD_MS)
        if self.isolated_request is not None or empty_ms > room_ms:
            return self._reject(ErrorKind.OVERLOADED, MAX_ISOLATION_HOLD_MS)
        return self._start_isolated(ticket, now_ms)

    def _acquire(self, ticket: AdmissionRequest) -> None:
        self.running.add(ticket)
        if ticket.brief:
            assert ticket.started_ms is not None
            self.brief_work.on_start(ticket.route, ticket.started_ms)

    def _release(self, ticket: AdmissionRequest) -> None:
        self.running.discard(ticket)

    def _remove_queued(self, ticket: AdmissionRequest) -> None:
        if ticket in self.queue:
            self.queue.remove(ticket)

    def _start_queued(self, now_ms: float) -> Iterator[AdmissionRequest]:
        while self.queue and self._has_slot():
            ticket = min(self.queue, key=lambda item: self._rank(item, now_ms))
            self.queue.remove(ticket)
            self._start(ticket, now_ms)
            yield ticket

    def _drop_queued(self, now_ms: float) -> list[AdmissionRequest]:
        # Its caller learns now, and not at its deadline, that it will not run.
        dropped = self._expected_to_time_out(now_ms)
        for ticket in dropped:
            self.queue.remove(ticket)
        surplus = self._excess_past_objective(now_ms)
        for ticket in surplus:
            self.queue.remove(ticket)
        return dropped + surplus

    def _expected_to_time_out(self, now_ms: float) -> list[AdmissionRequest]:
        # Later arrivals with a better rank lengthen the wait estimated on
        # arrival, so it is estimated again for the whole queue.
        if not self.queue:
            return []
        giving_up = []
        queue_wait_ms = self._first_free_ms(now_ms)
        slots = max(1, self.limit.current)
        ranked = [(self._rank(item, now_ms), item) for item in self.queue]
        for rank, ticket in sorted(ranked, key=lambda pair: pair[0]):
            wait_ms = self._wait_with_overtaking_ms(rank, queue_wait_ms, now_ms)
            if self._would_give_up(ticket, wait_ms, now_ms):
                giving_up.append(ticket)
            else:
                queue_wait_ms += self.expected_ms(ticket, now_ms) / slots
        return giving_up

    def _excess_past_objective(self, now_ms: float) -> list[AdmissionRequest]:
        # What was in time when it came and has become late since would be
        # overtaken by every newcomer until its half time is over.
        late = [item for item in self.queue if self._is_late(item, now_ms)]
        late.sort(key=lambda item: self._rank(item, now_ms))
        return late[self._may_be_late() :]

    def _may_be_late(self) -> int:
        return max(1, self.limit.current // LATE_PART)

    def _decline(self, wait_ms: float) -> Rejected:
        # The sender compares the waits of several targets, so it is told this
        # one as it is and not spread over the time in which callers return.
        self.declined += 1
        return Rejected(ErrorKind.OVERLOADED, max(1, round(wait_ms)))

    def _add_service_time(
        self, ticket: AdmissionRequest, took_ms: float, now_ms: float
    ) -> None:
        self.service_times.add(ticket.route, took_ms, now_ms)
