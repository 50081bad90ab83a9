"""Limits of the concurrent requests at a target."""

import attrs

from pomelobank_core._latency import MAX_ROUTES, BaselineAverage, MovingAverage

# Divisor of the slots that gives the limit of a cold target (just started or
# restarted). Each response raises the limit by one, so the limit doubles in
# each round of responses and reaches all slots after two rounds.
COLD_START_DIVISOR = 4
# Factor by which one step lowers the limit. At one step for each round of
# responses (as many responses as the limit), ten per cent halves the limit in
# seven rounds: fast enough for a target that sheds load, without emptying the
# target after a single 503.
DECREASE_FACTOR = 0.9
# Rounds without load shedding before the limit returns to the value at which
# the target shed last. If every round tried that value, a target that announces
# more slots than it has would shed one of ten requests permanently.
ROUNDS_BEFORE_SHED_LIMIT = 20
# Ratios of the recent to the baseline service time. Above `SLOW_RATIO` the
# limit falls: twice the baseline is the earliest sign of queueing inside the
# target. Below `NORMAL_RATIO` the limit may grow: with short work, the ratio
# varies this much by chance.
SLOW_RATIO = 2.0
NORMAL_RATIO = 1.5
# Slow responses lower the limit to no less than the slots divided by this. A
# target may be slow because of a dependency, and fewer concurrent requests
# would then only reduce throughput.
SLOW_MIN_LIMIT_DIVISOR = 2
# Weights of a new sample in the recent and the baseline average, which cover
# about 20 and 100 responses. Both average the same mix, so a route with long
# and short work does not look slow. A lasting change becomes the baseline, and
# the limit then recovers.
RECENT_SAMPLE_WEIGHT = 0.05
BASELINE_SAMPLE_WEIGHT = 0.01
# Maximum concurrent requests until the first response of a target with a fixed
# number of slots. The response shows whether the target limits its rate; a node
# that has just started would otherwise fill all slots of a target that takes
# two requests a second.
MAX_BEFORE_FIRST_RESPONSE = 3


@attrs.define
class ConcurrencyLimit:
    """Adaptive limit of concurrent requests, from 1 to the announced slots.

    Handles a target that sheds load or responds more slowly than its number of
    slots suggests. With a fixed limit the node would keep sending as many
    requests as the target announced slots: each shed request is an error for a
    caller, the target spends its time on rejections, and the rate of 503
    responses rises while the slots are busy. The limit therefore falls when the
    target sheds load or slows down, and grows again when the target recovers.

    Attributes:
        slots: Number of concurrent requests that the target announced.
        current: Number of concurrent requests that the node allows.
        cold: Whether the limit still grows from a cold start.
        reason: Why the limit is below the slots; empty if the two are equal.
        decreases: How often the limit was lowered.
        baselines: Long-term average service time of each route.
        ratio: Average ratio of recent service times to their baseline.
        responses_since_step: Number of responses since the limit last changed.
        last_shed_limit: Limit at which the target shed load last; 0 if the
            target never did.
    """

    slots: int
    current: int = 1
    cold: bool = True
    reason: str = "cold start"
    decreases: int = 0
    baselines: dict[str, BaselineAverage] = attrs.field(factory=dict)
    ratio: MovingAverage = attrs.field(
        factory=lambda: MovingAverage(weight=RECENT_SAMPLE_WEIGHT)
    )
    responses_since_step: int = 0
    last_shed_limit: int = 0

    @classmethod
    def start(cls, slots: int) -> "ConcurrencyLimit":
        """Returns the initial limit of a target that has just started."""
        return cls(slots, current=max(1, slots // COLD_START_DIVISOR))

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots that the same target announced anew.

        A lower number takes effect at once. A higher number is approached step
        by step, as after a cold start, because the new slots are cold too.
        """
        if slots > self.slots and self.current == self.slots:
            self.cold = True
            self.reason = "cold start"
        self.slots = slots
        self.current = min(self.current, slots)

    def on_response(self, route: str, took_ms: float, busy: int) -> None:
        """Adjusts the limit to a response of the target.

        Args:
            route: Route of the request.
            took_ms: Service time of the request.
            busy: Number of requests at the target, this one included.
        """
        self.responses_since_step += 1
        self.ratio.add(self._ratio_to_baseline(route, took_ms))
        if self.cold:
            self._step_up()
            return
        if self.responses_since_step < self.current:
            return
        slowness = self.ratio.value or 0.0
        if slowness > SLOW_RATIO:
            min_limit = max(1, self.slots // SLOW_MIN_LIMIT_DIVISOR)
            self._step_down("slower than usual", min_limit)
        elif slowness < NORMAL_RATIO and busy >= self.current:
            self._step_up_if_allowed()

    def on_shed(self) -> None:
        """Adjusts the limit to a response that sheds load."""
        self.responses_since_step += 1
        self.cold = False
        # Requests that were at the target together are shed for the same cause,
        # so the limit falls once for them; otherwise one burst of shed requests
        # would lower the limit to 1.
        if self.decreases == 0 or self.responses_since_step >= self.current:
            self.last_shed_limit = self.current
            self._step_down("target sheds", 1)

    def on_new_target(self) -> None:
        """Begins with a cold start at a target that starts or is found."""
        self.reset()

    def reset(self) -> None:
        """Resets the limit to a cold start after the target was lost."""
        self.current = max(1, self.slots // COLD_START_DIVISOR)
        self.cold = True
        self.reason = "cold start"
        self.responses_since_step = 0

    def _ratio_to_baseline(self, route: str, took_ms: float) -> float:
        baseline = self.baselines.get(route)
        if baseline is None:
            if len(self.baselines) >= MAX_ROUTES:
                return 1.0
            baseline = self.baselines[route] = BaselineAverage(
                BASELINE_SAMPLE_WEIGHT
            )
        return baseline.ratio(max(took_ms, 1.0))

    def _step_up_if_allowed(self) -> None:
        rounds = self.responses_since_step // self.current
        if self.current + 1 == self.last_shed_limit:
            if rounds < ROUNDS_BEFORE_SHED_LIMIT:
                return
            self.last_shed_limit = 0
        self._step_up()

    def _step_up(self) -> None:
        self.responses_since_step = 0
        self.current = min(self.slots, self.current + 1)
        if self.current == self.slots:
            self.cold = False
            self.reason = ""

    def _step_down(self, reason: str, min_limit: int) -> None:
        self.responses_since_step = 0
        lowered = max(min_limit, int(self.current * DECREASE_FACTOR))
        if lowered < self.current:
            self.current = lowered
            self.decreases += 1
            self.reason = reason


@attrs.define
class SlotLimit:
    """Fixed limit of concurrent requests: the slots that a target announced.

    This limit is for targets whose number of slots is fixed by their program
    and that receive requests from their node only, so that the node's count of
    their requests is exact. An adaptive limit mistakes a burst of lost
    responses for a restart and long work for a slow target: the adaptive limit
    left up to three quarters of the slots idle while callers were rejected.

    Attributes:
        slots: Number of concurrent requests that the target announced.
        has_responded: Whether the target has responded to this process.
    """

    slots: int
    has_responded: bool = True

    @property
    def current(self) -> int:
        """Number of concurrent requests that the node allows."""
        if self.has_responded:
            return self.slots
        return min(self.slots, MAX_BEFORE_FIRST_RESPONSE)

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots that the target announced."""
        self.slots = slots

    def on_new_target(self) -> None:
        """Allows few requests until the target's first response."""
        self.has_responded = False

    def on_response(self, route: str, took_ms: float, busy: int) -> None:
        """Allows all slots after the first response."""
        self.has_responded = True

    def on_shed(self) -> None:
        """Ignores a shed request; the limit is fixed."""

    def reset(self) -> None:
        """Ignores the loss of the target; the limit is fixed."""
