"""Admission by priority, latency objective and deadline."""

import math
import operator
import random
from collections.abc import Callable, Iterator

import attrs

from pomelobank_core._admission_request import (
    AdmissionDecision,
    AdmissionRequest,
    QueueChange,
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


# Order of a queued request: priority, whether it will miss its objective, and
# its slack or deadline.
SortKey = tuple[int, bool, float]


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
        queue: Queued requests in the order of their arrival. The values mean
            nothing; a dictionary removes a request without a search.
        brief_work: Tells which requests are short next to the target's others.
    """

    limit: ConcurrencyLimit | SlotLimit
    rng: random.Random = attrs.field(factory=random.Random)
    service_times: RouteTimes = attrs.field(factory=RouteTimes)
    rank_load: RankLoad = attrs.field(factory=RankLoad)
    running: set[AdmissionRequest] = attrs.field(factory=set)
    queue: dict[AdmissionRequest, None] = attrs.field(factory=dict)
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
        self.queue[request] = None
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
        return min(self._wait_ms(retry_key, now_ms), MAX_RETRY_FORECAST_MS)

    def cancel(self, request: AdmissionRequest, now_ms: float) -> QueueChange:
        """Removes a queued request whose caller went away."""
        if request is self.isolated_request:
            return super().cancel(request, now_ms)
        # No slot is free because of this, and the other requests wait for less.
        # If each of many requests that leave together caused a decision about
        # those that are left, their work would grow as their square.
        self._remove_queued(request)
        return QueueChange((), ())

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
        return self._wait_ms(self._new_sort_key(now_ms)(request), now_ms)

    def _wait_ms(self, own_key: SortKey, now_ms: float) -> float:
        sort_key = self._new_sort_key(now_ms)
        routes: dict[str, int] = {}
        for item in self.queue:
            if sort_key(item) <= own_key:
                routes[item.route] = routes.get(item.route, 0) + 1
        ahead_ms = sum(
            count * self.service_times.expected_ms(route, now_ms)
            for route, count in routes.items()
        )
        slots = max(1, self.limit.current)
        queue_wait_ms = self._slot_wait_ms(now_ms) + ahead_ms / slots
        return queue_wait_ms / self._available_fraction(own_key, now_ms)

    def _available_fraction(self, key: SortKey, now_ms: float) -> float:
        """Returns the fraction of the slots that better ranks leave."""
        slots = max(1, self.limit.current)
        return self.rank_load.available_fraction(
            Rank(key[0], key[1]), slots, now_ms
        )

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

    def _new_sort_key(
        self, now_ms: float
    ) -> Callable[[AdmissionRequest], SortKey]:
        """Returns the function that ranks requests at a time.

        It computes the expected time of each route once.
        """
        expected_ms: dict[str, float] = {}

        def sort_key(request: AdmissionRequest) -> SortKey:
            if request.brief:
                return request.priority, False, -math.inf
            if request.past_objective:
                return request.priority, True, request.deadline_ms
            service_ms = expected_ms.get(request.route)
            if service_ms is None:
                service_ms = self.service_times.expected_ms(
                    request.route, now_ms
                )
                expected_ms[request.route] = service_ms
            slack_ms = request.objective_at_ms - now_ms - service_ms
            if slack_ms < 0:
                return request.priority, True, request.deadline_ms
            return request.priority, False, slack_ms

        return sort_key

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
        self.queue.pop(request, None)

    def _start_queued(self, now_ms: float) -> Iterator[AdmissionRequest]:
        if not self.queue or not self._has_slot():
            return
        sort_key = self._new_sort_key(now_ms)
        while self.queue and self._has_slot():
            request = min(self.queue, key=sort_key)
            del self.queue[request]
            self._start(request, now_ms)
            yield request

    def _drop_queued(self, now_ms: float) -> list[AdmissionRequest]:
        # The caller of a dropped request gets its error now instead of at its
        # deadline.
        if not self.queue:
            return []
        sort_key = self._new_sort_key(now_ms)
        ranked = sorted(
            ((sort_key(item), item) for item in self.queue),
            key=operator.itemgetter(0),
        )
        dropped = self._expected_to_time_out(ranked, now_ms)
        for request in dropped:
            del self.queue[request]
        excess = self._excess_past_objective(ranked)
        for request in excess:
            del self.queue[request]
        return dropped + excess

    def _expected_to_time_out(
        self, ranked: list[tuple[SortKey, AdmissionRequest]], now_ms: float
    ) -> list[AdmissionRequest]:
        # Later arrivals with a better rank lengthen the wait that was estimated
        # on arrival, so the wait is estimated again for the whole queue.
        timing_out = []
        queue_wait_ms = self._slot_wait_ms(now_ms)
        slots = max(1, self.limit.current)
        available: dict[tuple[int, bool], float] = {}
        for key, request in ranked:
            rank = key[:2]
            if rank not in available:
                available[rank] = self._available_fraction(key, now_ms)
            wait_ms = queue_wait_ms / available[rank]
            if self._would_time_out(request, wait_ms, now_ms):
                timing_out.append(request)
            else:
                queue_wait_ms += self.expected_ms(request, now_ms) / slots
        return timing_out

    def _excess_past_objective(
        self, ranked: list[tuple[SortKey, AdmissionRequest]]
    ) -> list[AdmissionRequest]:
        # Without this limit, a request that could meet its objective on arrival
        # and no longer can would be overtaken by every new request that can,
        # until its maximum wait ends.
        past_objective = [
            item for key, item in ranked if key[1] and item in self.queue
        ]
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
