"""Admission by priority, latency objective and deadline."""

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

# Minimum remaining time of a running request, as a fraction of its expected
# service time. A request that has run longer than expected still takes a while
# on average, because some requests take several times as long.
MIN_REMAINING_FRACTION = 0.2
# Maximum expected wait of a request that will miss its objective, as a fraction
# of its time until the deadline. Estimates are off by half for mixed work;
# above this fraction most of the queued requests would be dropped in the end,
# later than an immediate rejection.
MAX_PLANNED_WAIT_FRACTION = 0.7
# Multiple of the expected service time with which an arriving request is
# planned. Service times of one route vary by a third; planned with the mean,
# half of the requests that start at the last possible moment would miss their
# objective.
SERVICE_TIME_SAFETY_FACTOR = 1.4
# Limits the queued requests that will miss their objective to the number of
# slots divided by this. A third of the slots is enough to use the capacity that
# a burst leaves free, without holding hundreds of requests until their
# deadlines while an overload lasts.
PAST_OBJECTIVE_QUEUE_DIVISOR = 3
# Maximum wait of a request, as a fraction of its time until the deadline. The
# smaller fraction applies from the time at which the request can no longer meet
# its objective, because from then on, requests that can meet their objective
# overtake the request all the time.
MAX_WAIT_FRACTION = 1 / 2
MAX_PAST_OBJECTIVE_WAIT_FRACTION = 1 / 5
# Upper bound of the delay after which a rejected caller is told to retry,
# before jitter: the load is measured over one second and says nothing about a
# later time.
MAX_RETRY_FORECAST_MS = 1000.0


@attrs.define
class DeadlineAdmission(BaseAdmission):
    """Slots and queue of one target, ordered by priority and slack.

    Handles a burst of look-ups with objectives of some hundred ms beside
    reports that may take seconds. With a first-come, first-served queue every
    look-up would miss its objective for as long as the burst's queue lasts: the
    target is busy all the time and its responses are late. This queue starts
    the most urgent priority first. Within a priority, requests that can still
    meet their objective start first, in order of least slack; requests that
    will miss their objective get the slots that remain. A request that cannot
    end before its deadline is rejected at once, while its caller can still use
    another target. Brief requests start before longer requests of their
    priority and may wait until their deadline.

    Attributes:
        limit: Limit of concurrent requests at the target.
        rng: Random number generator.
        service_times: Measured service times.
        rank_load: Slot time that each rank was given recently.
        running: Requests at the target.
        queue: Queued requests.
        brief_work: Tells which requests are short next to the target's others.
    """

    limit: ConcurrencyLimit | SlotLimit
    rng: random.Random = attrs.field(factory=random.Random)
    service_times: RouteTimes = attrs.field(factory=RouteTimes)
    rank_load: RankLoad = attrs.field(factory=RankLoad)
    running: set[AdmissionRequest] = attrs.field(factory=set)
    queue: list[AdmissionRequest] = attrs.field(factory=list)
    brief_work: BriefWork = attrs.field(init=False)

    @brief_work.default
    def _default_brief_work(self) -> BriefWork:
        return BriefWork(self.service_times)

    @property
    def in_flight(self) -> int:
        """Number of requests at the target."""
        return len(self.running)

    @property
    def queued(self) -> int:
        """Number of queued requests, without a waiting isolated request."""
        return len(self.queue)

    def _offer_shared(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        slots = self.limit.current
        request.brief = self.brief_work.is_brief(request.route, slots, now_ms)
        if (
            self.isolated_request is None
            and self._has_slot()
            and not self.queue
        ):
            self._add_rank_load(request, now_ms)
            self._start(request, now_ms)
            return Started()
        wait_ms = self.wait_ms(request, now_ms)
        if wait_ms > request.max_wait_ms:
            return self._decline(wait_ms)
        if not request.brief and not self._can_meet_objective(
            request, wait_ms, now_ms
        ):
            # From now on the request ranks behind all requests that can meet
            # their objective. Without this mark the queue would detect the miss
            # only after the objective has passed, for dozens of requests at
            # once, and reject them then: at a target with three times the load
            # that the target can serve, 13 instead of 431 of 2,388 requests are
            # rejected after their objective.
            request.past_objective = True
            wait_ms = self.wait_ms(request, now_ms)
        if self._would_time_out(request, wait_ms, now_ms) or (
            request.past_objective
            and not self._may_wait_past_objective(request, wait_ms, now_ms)
        ):
            return self._reject(
                ErrorKind.OVERLOADED, self._retry_after_ms(request, now_ms)
            )
        self._add_rank_load(request, now_ms)
        self.queue.append(request)
        return Queued()

    def _add_rank_load(self, request: AdmissionRequest, now_ms: float) -> None:
        rank = self._load_rank(request, now_ms)
        self.rank_load.add(rank, self.expected_ms(request, now_ms), now_ms)

    def _load_rank(self, request: AdmissionRequest, now_ms: float) -> Rank:
        return Rank(
            request.priority, self._will_miss_objective(request, now_ms)
        )

    def _can_meet_objective(
        self, request: AdmissionRequest, wait_ms: float, now_ms: float
    ) -> bool:
        needed_ms = wait_ms + SERVICE_TIME_SAFETY_FACTOR * self.expected_ms(
            request, now_ms
        )
        return now_ms + needed_ms <= request.objective_at_ms

    def _would_time_out(
        self, request: AdmissionRequest, wait_ms: float, now_ms: float
    ) -> bool:
        return now_ms + wait_ms >= self.wait_deadline_ms(request)

    def _may_wait_past_objective(
        self, request: AdmissionRequest, wait_ms: float, now_ms: float
    ) -> bool:
        # Under a lasting overload only requests that can meet their objective
        # get slots; the requests of a long queue behind them would wait until
        # their deadlines.
        queued_past_objective = sum(
            item.priority <= request.priority
            and self._will_miss_objective(item, now_ms)
            for item in self.queue
        )
        available_ms = (
            request.deadline_ms - now_ms - self.expected_ms(request, now_ms)
        )
        return (
            queued_past_objective < self._max_past_objective()
            and wait_ms <= MAX_PLANNED_WAIT_FRACTION * available_ms
        )

    def _retry_after_ms(
        self, request: AdmissionRequest, now_ms: float
    ) -> float:
        # A retry of this request will miss its objective, so requests that can
        # meet theirs go first. If the caller were told the wait of a request's
        # first attempt, its retry would be rejected again.
        retry_key = (request.priority, True, math.inf)
        return min(
            self._wait_ms(request, retry_key, now_ms), MAX_RETRY_FORECAST_MS
        )

    def expected_ms(self, request: AdmissionRequest, now_ms: float) -> float:
        """Returns the expected service time of a request in ms."""
        return self.service_times.expected_ms(request.route, now_ms)

    def expected_service_ms(self, route: str, now_ms: float) -> float:
        """Returns the expected service time of a route in ms."""
        return self.service_times.expected_ms(route, now_ms)

    def max_expected_service_ms(self, now_ms: float) -> float:
        """Returns the slowest route's expected service time in ms."""
        return self.service_times.max_expected_ms(now_ms)

    def wait_deadline_ms(self, request: AdmissionRequest) -> float:
        """Returns the time at which a queued request is dropped.

        If the target stalls, only this limit ends the wait. A caller that is
        rejected after half of its time can still use another target. A request
        that will miss its objective waits for the capacity that a burst leaves
        free; that capacity is available soon or not at all, so its limit is
        shorter. A brief request may wait until shortly before its deadline.
        """
        service_ms = self.expected_ms(request, request.offered_ms)
        latest_ms = request.deadline_ms - service_ms / 2
        if request.brief:
            return latest_ms
        available_ms = request.deadline_ms - request.offered_ms
        max_wait_at_ms = request.offered_ms + MAX_WAIT_FRACTION * available_ms
        past_objective_ms = request.objective_at_ms - service_ms
        if request.past_objective:
            past_objective_ms = request.offered_ms
        past_objective_available_ms = max(
            0.0, request.deadline_ms - past_objective_ms
        )
        return min(
            latest_ms,
            max_wait_at_ms,
            past_objective_ms
            + MAX_PAST_OBJECTIVE_WAIT_FRACTION * past_objective_available_ms,
        )

    def wait_ms(self, request: AdmissionRequest, now_ms: float) -> float:
        """Returns the expected time until a new request gets a slot, in ms."""
        return self._wait_ms(request, self._sort_key(request, now_ms), now_ms)

    def _wait_ms(
        self,
        request: AdmissionRequest,
        own_key: tuple[int, bool, float],
        now_ms: float,
    ) -> float:
        ahead_ms = sum(
            self.expected_ms(item, now_ms)
            for item in self.queue
            if self._sort_key(item, now_ms) <= own_key
        )
        slots = max(1, self.limit.current)
        queue_wait_ms = self._slot_wait_ms(now_ms) + ahead_ms / slots
        return self._wait_with_overtaking_ms(own_key, queue_wait_ms, now_ms)

    def _wait_with_overtaking_ms(
        self,
        own_key: tuple[int, bool, float],
        queue_wait_ms: float,
        now_ms: float,
    ) -> float:
        slots = max(1, self.limit.current)
        available = self.rank_load.available_fraction(
            Rank(own_key[0], own_key[1]), slots, now_ms
        )
        return queue_wait_ms / available

    def _slot_wait_ms(self, now_ms: float) -> float:
        if self.isolated_request is None and self._has_slot():
            return 0.0
        remaining_ms = sum(
            self._remaining_ms(item, now_ms) for item in self.running
        )
        slots = max(1, self.limit.current)
        # If the ends of n requests are spread evenly up to twice their mean
        # remaining time, the first ends after 2 / (n + 1) of that mean.
        return remaining_ms / slots * 2 / (slots + 1)

    def _sort_key(
        self, request: AdmissionRequest, now_ms: float
    ) -> tuple[int, bool, float]:
        if request.brief:
            return request.priority, False, -math.inf
        if self._will_miss_objective(request, now_ms):
            return request.priority, True, request.deadline_ms
        slack_ms = (
            request.objective_at_ms - now_ms - self.expected_ms(request, now_ms)
        )
        return request.priority, False, slack_ms

    def _will_miss_objective(
        self, request: AdmissionRequest, now_ms: float
    ) -> bool:
        if request.brief:
            return False
        if request.past_objective:
            return True
        return request.objective_at_ms - now_ms < self.expected_ms(
            request, now_ms
        )

    def _remaining_ms(self, request: AdmissionRequest, now_ms: float) -> float:
        service_ms = self.expected_ms(request, now_ms)
        elapsed_ms = now_ms - (request.started_ms or now_ms)
        return max(
            service_ms - elapsed_ms,
            MIN_REMAINING_FRACTION * service_ms,
        )

    def _has_slot(self) -> bool:
        return self.in_flight < self.limit.current

    def _offer_isolated(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionDecision:
        # Only one isolated request is admitted at a time: with several, the
        # target would be emptied for each in turn, and they would take the
        # slots from requests that are not suspects. If the running requests
        # still take long, slots that become free would stand idle for seconds
        # until the target is empty, so the suspect is rejected and its caller
        # retries later.
        until_empty_ms = max(
            (self._remaining_ms(item, now_ms) for item in self.running),
            default=0.0,
        )
        available_ms = min(request.deadline_ms - now_ms, MAX_ISOLATION_HOLD_MS)
        if self.isolated_request is not None or until_empty_ms > available_ms:
            return self._reject(ErrorKind.OVERLOADED, MAX_ISOLATION_HOLD_MS)
        return self._start_isolated(request, now_ms)

    def _acquire(self, request: AdmissionRequest) -> None:
        self.running.add(request)
        if request.brief:
            assert request.started_ms is not None
            self.brief_work.on_start(request.route, request.started_ms)

    def _release(self, request: AdmissionRequest) -> None:
        self.running.discard(request)

    def _remove_queued(self, request: AdmissionRequest) -> None:
        if request in self.queue:
            self.queue.remove(request)

    def _start_queued(self, now_ms: float) -> Iterator[AdmissionRequest]:
        while self.queue and self._has_slot():
            request = min(
                self.queue, key=lambda item: self._sort_key(item, now_ms)
            )
            self.queue.remove(request)
            self._start(request, now_ms)
            yield request

    def _drop_queued(self, now_ms: float) -> list[AdmissionRequest]:
        # The caller of a dropped request gets its error now instead of at its
        # deadline.
        dropped = self._expected_to_time_out(now_ms)
        for request in dropped:
            self.queue.remove(request)
        excess = self._excess_past_objective(now_ms)
        for request in excess:
            self.queue.remove(request)
        return dropped + excess

    def _expected_to_time_out(self, now_ms: float) -> list[AdmissionRequest]:
        # Later arrivals with a better rank lengthen the wait that was estimated
        # on arrival, so the wait is estimated again for the whole queue.
        if not self.queue:
            return []
        timing_out = []
        queue_wait_ms = self._slot_wait_ms(now_ms)
        slots = max(1, self.limit.current)
        keyed = [(self._sort_key(item, now_ms), item) for item in self.queue]
        for key, request in sorted(keyed, key=lambda pair: pair[0]):
            wait_ms = self._wait_with_overtaking_ms(key, queue_wait_ms, now_ms)
            if self._would_time_out(request, wait_ms, now_ms):
                timing_out.append(request)
            else:
                queue_wait_ms += self.expected_ms(request, now_ms) / slots
        return timing_out

    def _excess_past_objective(self, now_ms: float) -> list[AdmissionRequest]:
        # Without this limit, a request that could meet its objective on arrival
        # and no longer can would be overtaken by every new request that can,
        # until its maximum wait ends.
        past_objective = [
            item
            for item in self.queue
            if self._will_miss_objective(item, now_ms)
        ]
        past_objective.sort(key=lambda item: self._sort_key(item, now_ms))
        return past_objective[self._max_past_objective() :]

    def _max_past_objective(self) -> int:
        return max(1, self.limit.current // PAST_OBJECTIVE_QUEUE_DIVISOR)

    def _decline(self, wait_ms: float) -> Rejected:
        # The sending node compares the waits of several targets, so it gets the
        # exact wait, without the jitter that spreads the retries of callers.
        self.declined += 1
        return Rejected(ErrorKind.OVERLOADED, max(1, round(wait_ms)))

    def _add_service_time(
        self, request: AdmissionRequest, took_ms: float, now_ms: float
    ) -> None:
        self.service_times.add(request.route, took_ms, now_ms)
