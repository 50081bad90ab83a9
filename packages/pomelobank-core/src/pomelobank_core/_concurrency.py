"""How many requests a target is given at once, learnt from what it does."""

import attrs

from pomelobank_core._latency import MAX_ROUTES, BaselineAverage, MovingAverage

# A cold target gets a quarter of its slots; one more with every answer doubles
# that within each round trip, so it is fully used after two rounds.
COLD_PART = 4
# One step down per round of answers: ten per cent halves the limit in seven
# rounds, fast enough for a target that sheds, without emptying it for one 503.
STEP_DOWN = 0.9
# Rounds without a shed request before the limit at which the target shed is
# tried again. Trying it every round would have one of ten requests shed for
# good by a target that announces more slots than it has.
ROUNDS_BEFORE_SHED_LIMIT = 20
# An answer that takes twice the usual time is the earliest sign of queueing
# inside the target; below 1.5 times it is noise of short work.
SLOW_RATIO = 2.0
NORMAL_RATIO = 1.5
# A target may be slow because of what it depends on, and then fewer requests
# at once only lose throughput. So slowness alone takes at most half the slots.
SLOW_FLOOR_PART = 2
# Recent means some twenty answers, usual some hundred. Both are averages of
# the same mix, so long and short work on one route does not look slow; a
# lasting change becomes usual, and the limit then recovers.
RECENT_WEIGHT = 0.05
USUAL_WEIGHT = 0.01


@attrs.define
class ConcurrencyLimit:
    """Requests tried at once: between 1 and the slots that are announced.

    Made for a target that sheds load or answers slower than its slots
    promise. Without it, the node keeps sending as many as were announced,
    each shed request is an error for a caller, and the target spends itself
    on refusing. One notices by a rate of 503 answers while slots look busy.

    Attributes:
        slots: Requests that the target says it runs at once.
        current: Requests that are tried at once.
        cold: Whether the limit still grows from a cold start.
        reason: Why the limit is below the slots; empty where it is not.
        decreases: How often it was lowered.
        baselines: Usual time of each route.
        ratio: Recent times in relation to the usual ones.
        answers: Answers since the last step.
        shed_at: Limit at which the target shed last; 0 if it never did.
    """

    slots: int
    current: int = 1
    cold: bool = True
    reason: str = "cold start"
    decreases: int = 0
    baselines: dict[str, BaselineAverage] = attrs.field(factory=dict)
    ratio: MovingAverage = attrs.field(
        factory=lambda: MovingAverage(weight=RECENT_WEIGHT)
    )
    answers: int = 0
    shed_at: int = 0

    @classmethod
    def start(cls, slots: int) -> "ConcurrencyLimit":
        """Returns the limit of a target that has just started."""
        return cls(slots, current=max(1, slots // COLD_PART))

    def set_slots(self, slots: int) -> None:
        """Takes a new announcement of the same target.

        Fewer slots count at once; more are approached step by step, as after
        a cold start, because the new ones are as cold.
        """
        if slots > self.slots and self.current == self.slots:
            self.cold = True
            self.reason = "cold start"
        self.slots = slots
        self.current = min(self.current, slots)

    def on_response(self, route: str, took_ms: float, busy: int) -> None:
        """Takes an answer.

        Args:
            route: Route of the request.
            took_ms: Time that the target took.
            busy: Requests that were at the target, this one included.
        """
        self.answers += 1
        self.ratio.add(self._ratio(route, took_ms))
        if self.cold:
            self._step_up()
            return
        if self.answers < self.current:
            return
        slowness = self.ratio.value or 0.0
        if slowness > SLOW_RATIO:
            floor = max(1, self.slots // SLOW_FLOOR_PART)
            self._step_down("slower than usual", floor)
        elif slowness < NORMAL_RATIO and busy >= self.current:
            self._try_step_up()

    def on_shed(self) -> None:
        """Takes an answer by which the target turned the request away."""
        self.answers += 1
        self.cold = False
        # All that were at the target at the same moment tell the same thing;
        # without the pause one burst would lower the limit to 1.
        if self.decreases == 0 or self.answers >= self.current:
            self.shed_at = self.current
            self._step_down("target sheds", 1)

    def reset(self) -> None:
        """Begins again after the target was lost: it comes back cold."""
        self.current = max(1, self.slots // COLD_PART)
        self.cold = True
        self.reason = "cold start"
        self.answers = 0

    def _ratio(self, route: str, took_ms: float) -> float:
        usual = self.baselines.get(route)
        if usual is None:
            if len(self.baselines) >= MAX_ROUTES:
                return 1.0
            usual = self.baselines[route] = BaselineAverage(USUAL_WEIGHT)
        return usual.ratio(max(took_ms, 1.0))

    def _try_step_up(self) -> None:
        rounds = self.answers // self.current
        if self.current + 1 == self.shed_at:
            if rounds < ROUNDS_BEFORE_SHED_LIMIT:
                return
            self.shed_at = 0
        self._step_up()

    def _step_up(self) -> None:
        self.answers = 0
        self.current = min(self.slots, self.current + 1)
        if self.current == self.slots:
            self.cold = False
            self.reason = ""

    def _step_down(self, reason: str, floor: int) -> None:
        self.answers = 0
        lowered = max(floor, int(self.current * STEP_DOWN))
        if lowered < self.current:
            self.current = lowered
            self.decreases += 1
            self.reason = reason


@attrs.define
class SlotLimit:
    """As many requests at once as the target says, whatever becomes of them.

    Made for targets whose slots are a fact of their program and whose node is
    the only way to them, so that the count is exact. A limit that is learnt
    takes a burst of lost answers for a restart and long work for a slow target:
    it left up to three quarters of the slots idle while callers were refused.

    Attributes:
        current: Requests tried at once.
    """

    current: int

    def set_slots(self, slots: int) -> None:
        """Takes the number that the target announces."""
        self.current = slots

    def on_response(self, route: str, took_ms: float, busy: int) -> None:
        """Takes an answer; it changes nothing."""

    def on_shed(self) -> None:
        """Takes a request that was turned away; it changes nothing."""

    def reset(self) -> None:
        """Takes the loss of the target; it changes nothing."""
