"""Load patterns: callers' requests and the faults during a run."""

import math

import attrs
from attrs import validators


@attrs.frozen
class InnerCalls:
    """Calls that a request makes to another upstream while it runs.

    Attributes:
        route: Route of the calls.
        count: Calls of one request.
        ratio: Fraction of the requests that make calls.
        parallel: Whether a request makes all its calls at once; otherwise the
            calls are sequential.
    """

    route: str
    count: int = 1
    ratio: float = 1.0
    parallel: bool = True


@attrs.frozen
class RouteLoad:
    """The requests of one route.

    Attributes:
        name: The route.
        upstream: The route's upstream.
        per_s: Requests a second from callers; 0 for a route of inner calls.
        work_ms: Mean service time at a target with a work factor of 1,
            without inner calls.
        aim_ms: Latency objective.
        deadline_ms: How long a caller waits, earlier attempts included.
        timeout_ms: How long one attempt may take; 0 for the deadline.
        body_bytes: Size of a request's body.
        answer_bytes: Size of a response's body.
        priority: Priority; 0 is the most urgent.
        value: Value of a response within the latency objective.
        late_value: Value of a response after the latency objective.
        idempotent: Whether a request may run more than once.
        max_retries: How often a caller retries.
        calls: Calls that a request makes while it runs.
    """

    name: str
    upstream: str
    per_s: float
    work_ms: float = attrs.field(validator=validators.gt(0))
    aim_ms: int = attrs.field(validator=validators.gt(0))
    deadline_ms: int = attrs.field(validator=validators.gt(0))
    priority: int = 2
    value: float = 1.0
    late_value: float = 0.5
    idempotent: bool = True
    max_retries: int = 1
    calls: InnerCalls | None = None
    timeout_ms: int = 0
    body_bytes: int = 0
    answer_bytes: int = 0


@attrs.frozen
class Pauses:
    """Short periods in which a target is slower, drawn for each target.

    Attributes:
        ratio: Fraction of the periods in which a target is slower.
        work_factor: Factor on the service time in these periods.
        period_s: Length of a period.
    """

    ratio: float
    work_factor: float
    period_s: float


@attrs.frozen
class TargetGroup:
    """The targets of one upstream.

    Attributes:
        upstream: The targets' upstream.
        work_factors: Factor on the service time, for each target.
        slots: Requests that each target runs at once.
        pauses: Short periods in which a target is slower; None without any.
    """

    upstream: str
    work_factors: tuple[float, ...]
    slots: int = 12
    pauses: "Pauses | None" = None

    def node(self, number: int) -> str:
        """Returns the name of the node beside a target."""
        return f"{self.upstream}-{number}"


@attrs.frozen
class Fault:
    """A fault of some targets during a part of the run.

    Attributes:
        upstream: Upstream of the affected targets.
        from_s: Start of the fault, in seconds of the run.
        until_s: End of the fault, in seconds of the run.
        target_count: Number of affected targets, from the group's first.
        work_factor: Further factor on the service time.
        shed_ratio: Fraction of the requests that the targets refuse unrun.
        removed: Whether the targets have left the mesh.
        limit_per_s: Requests per second that each target names as its rate
            limit; 0 for none.
    """

    upstream: str
    from_s: float
    until_s: float
    target_count: int
    work_factor: float = 1.0
    shed_ratio: float = 0.0
    removed: bool = False
    limit_per_s: float = 0.0


@attrs.frozen
class Burst:
    """A higher request rate of all routes during a part of the run.

    Attributes:
        from_s: Start of the burst, in seconds of the run.
        until_s: End of the burst, in seconds of the run.
        rate_factor: Factor on the requests a second.
    """

    from_s: float
    until_s: float
    rate_factor: float


@attrs.frozen
class Wave:
    """A request rate of all routes that rises and falls like a sine.

    Attributes:
        amplitude: Largest change of the rate, as a fraction of its mean.
        period_s: Length of one wave.
    """

    amplitude: float
    period_s: float

    def rate_factor(self, at_s: float) -> float:
        """Returns the factor on the mean rate at a time of the run."""
        angle = 2 * math.pi * at_s / self.period_s
        return 1 + self.amplitude * math.sin(angle)


@attrs.frozen
class LongRequests:
    """Requests that take several times as long as others of their route.

    Attributes:
        ratio: Fraction of the requests.
        work_factor: Factor on their service time.
    """

    ratio: float
    work_factor: float

    @property
    def mean_factor(self) -> float:
        """Factor on the mean service time of all requests."""
        return 1 + self.ratio * (self.work_factor - 1)


@attrs.frozen
class PowerLoss:
    """A loss of all nodes and targets, which return with empty memories.

    Attributes:
        at_s: Start of the loss, in seconds of the run.
        length_s: Time until nodes and targets are back.
        cold_s: Time after the return for which targets are slower.
        cold_work_factor: Factor on the service time in that time.
    """

    at_s: float
    length_s: float
    cold_s: float
    cold_work_factor: float

    @property
    def until_s(self) -> float:
        """Time of the return, in seconds of the run."""
        return self.at_s + self.length_s

    def is_off(self, at_s: float) -> bool:
        """Tells whether nodes and targets are lost at a time."""
        return self.at_s <= at_s < self.until_s

    def work_factor(self, at_s: float) -> float:
        """Returns the factor on the service time at a time of the run."""
        is_cold = self.until_s <= at_s < self.until_s + self.cold_s
        return self.cold_work_factor if is_cold else 1.0


@attrs.frozen
class Pattern:
    """One load pattern to replay.

    Attributes:
        purpose: Short description of the load.
        routes: The routes and their request rates.
        groups: The targets, by upstream.
        faults: Faults of targets.
        bursts: Periods with a higher request rate.
        duration_s: Time for which callers send requests.
        link_bytes_per_s: Speed of each node's network link in each direction;
            0 for an unlimited link.
        wave: Change of the request rate over time; None for a constant rate.
        long_requests: Requests that take longer than others of their route.
        power_loss: Loss of all nodes and targets; None without one.
    """

    purpose: str
    routes: tuple[RouteLoad, ...]
    groups: tuple[TargetGroup, ...]
    faults: tuple[Fault, ...] = ()
    bursts: tuple[Burst, ...] = ()
    duration_s: float = 8.0
    link_bytes_per_s: int = 0
    wave: Wave | None = None
    long_requests: LongRequests = LongRequests(0.0, 1.0)
    power_loss: PowerLoss | None = None

    def rate_factor(self, at_s: float) -> float:
        """Returns the factor on the request rates at a time of the run."""
        factor = self.wave.rate_factor(at_s) if self.wave else 1.0
        for burst in self.bursts:
            if burst.from_s <= at_s < burst.until_s:
                return factor * burst.rate_factor
        return factor

    def route(self, name: str) -> RouteLoad:
        """Returns the route of a name."""
        return next(item for item in self.routes if item.name == name)


# A booking service and a record service, each with one slow and one fast
# target. Look-ups call the record service while they run.
_LOOK_UP = RouteLoad(
    "look-up",
    "booking",
    per_s=300,
    work_ms=60,
    aim_ms=200,
    deadline_ms=800,
    calls=InnerCalls("roster", count=2, ratio=0.7),
)
_ORDER = RouteLoad(
    "order",
    "booking",
    per_s=134,
    work_ms=78,
    aim_ms=250,
    deadline_ms=1000,
    priority=1,
    value=2.0,
    late_value=1.0,
    idempotent=False,
)
_RECORD = RouteLoad(
    "record", "records", per_s=98, work_ms=150, aim_ms=400, deadline_ms=1500
)
_HISTORY = RouteLoad(
    "history", "records", per_s=57, work_ms=240, aim_ms=600, deadline_ms=2500
)
_ROSTER = RouteLoad(
    "roster",
    "records",
    per_s=0,
    work_ms=15,
    aim_ms=60,
    deadline_ms=200,
    priority=1,
    value=0.0,
    max_retries=0,
)
_ROUTES = (_LOOK_UP, _ORDER, _RECORD, _HISTORY, _ROSTER)
_GROUPS = (
    TargetGroup("booking", (0.6, 1.0, 1.0, 1.4)),
    TargetGroup("records", (0.5, 1.0, 1.0, 1.5)),
)
# A desk service that calls the order service while its requests run, and an
# order service that calls the ledger. Targets have few slots, and latency
# objectives are several times the service time.
_STOCK = RouteLoad(
    "stock",
    "desk",
    per_s=118,
    work_ms=120,
    aim_ms=421,
    deadline_ms=3154,
    late_value=0.3,
    max_retries=2,
    timeout_ms=1500,
    calls=InnerCalls("status", count=2, ratio=0.7),
)
_REORDER = RouteLoad(
    "reorder",
    "orders",
    per_s=142,
    work_ms=160,
    aim_ms=646,
    deadline_ms=4309,
    timeout_ms=2000,
    priority=1,
    value=2.0,
    late_value=0.6,
    idempotent=False,
    max_retries=2,
    calls=InnerCalls("detail", count=2, ratio=0.7, parallel=False),
)
_REPORT = RouteLoad(
    "report",
    "ledger",
    per_s=44,
    work_ms=300,
    aim_ms=821,
    deadline_ms=5129,
    timeout_ms=2500,
    late_value=0.3,
    max_retries=2,
)
_LIST = RouteLoad(
    "list",
    "ledger",
    per_s=76,
    work_ms=480,
    aim_ms=1217,
    deadline_ms=8112,
    timeout_ms=4000,
    late_value=0.3,
    max_retries=2,
)
_STATUS = RouteLoad(
    "status",
    "orders",
    per_s=0,
    work_ms=30,
    aim_ms=137,
    deadline_ms=458,
    priority=1,
    value=0.0,
    max_retries=0,
)
_DETAIL = attrs.evolve(_STATUS, name="detail", upstream="ledger")
_CALLING_ROUTES = (_STOCK, _REORDER, _REPORT, _LIST, _STATUS, _DETAIL)
_FEW_SLOT_GROUPS = (
    TargetGroup("desk", (0.6, 1.0, 1.4, 1.0, 1.0), slots=3),
    TargetGroup("orders", (0.5, 1.0, 1.0, 1.5) * 2 + (1.0,), slots=3),
    TargetGroup("ledger", (0.5, 1.0, 1.0, 1.5) * 4, slots=3),
)
# Three services of half of the size of a deployment with uneven targets. At the
# mean rate the requests need 0.87 of the slots of each upstream.
_POSITION = RouteLoad(
    "position",
    "positions",
    per_s=325,
    work_ms=70,
    aim_ms=318,
    deadline_ms=1272,
    late_value=0.3,
    calls=InnerCalls("margin", ratio=0.7),
)
_PLACE = RouteLoad(
    "place",
    "gateway",
    per_s=142,
    work_ms=94,
    aim_ms=310,
    deadline_ms=1239,
    priority=1,
    value=2.0,
    late_value=0.6,
    idempotent=False,
    calls=InnerCalls("limit", ratio=0.7),
)
_INSTRUMENT = RouteLoad(
    "instrument",
    "refdata",
    per_s=186,
    work_ms=180,
    aim_ms=610,
    deadline_ms=2540,
    late_value=0.3,
)
_MARGIN = RouteLoad(
    "margin",
    "gateway",
    per_s=0,
    work_ms=21,
    aim_ms=87,
    deadline_ms=273,
    priority=1,
    value=0.0,
    max_retries=0,
)
_LIMIT = attrs.evolve(_MARGIN, name="limit", upstream="refdata")
_UNEVEN_ROUTES = (_POSITION, _PLACE, _INSTRUMENT, _MARGIN, _LIMIT)
_PAUSES = Pauses(ratio=0.15, work_factor=2.5, period_s=0.6)
_UNEVEN_GROUPS = (
    TargetGroup("positions", (0.7, 0.7, 1.7) * 4, slots=3, pauses=_PAUSES),
    TargetGroup("gateway", (0.6, 1.0, 1.4) * 3, slots=3),
    TargetGroup("refdata", (0.7, 0.7, 1.6) * 5, slots=3, pauses=_PAUSES),
)
_LONG_REQUESTS = LongRequests(ratio=0.03, work_factor=7.0)
_WHOLE_RUN_S = 1_000.0
# A refund service whose look-ups make two calls to the document service while
# they run. All targets have three slots; 0.75 of the slots are needed.
_BALANCE = RouteLoad(
    "balance",
    "refunds",
    per_s=70,
    work_ms=220,
    aim_ms=909,
    deadline_ms=5681,
    priority=0,
    value=1.4,
    late_value=0.17,
    max_retries=2,
    calls=InnerCalls("index", count=2, ratio=0.7),
)
_REFUND = RouteLoad(
    "refund",
    "refunds",
    per_s=35,
    work_ms=290,
    aim_ms=1112,
    deadline_ms=6674,
    priority=1,
    value=1.5,
    late_value=0.46,
    idempotent=False,
    max_retries=2,
)
_ARCHIVE = RouteLoad(
    "archive",
    "documents",
    per_s=40,
    work_ms=180,
    aim_ms=1524,
    deadline_ms=10160,
    priority=1,
    value=0.76,
    late_value=0.23,
    max_retries=2,
)
_RECEIPT = RouteLoad(
    "receipt",
    "documents",
    per_s=14,
    work_ms=880,
    aim_ms=5112,
    deadline_ms=15335,
    value=0.38,
    late_value=0.17,
    max_retries=2,
)
_INDEX = RouteLoad(
    "index",
    "documents",
    per_s=0,
    work_ms=55,
    aim_ms=309,
    deadline_ms=928,
    priority=0,
    value=0.0,
    max_retries=0,
)
_DOCUMENT_GROUPS = (
    TargetGroup("refunds", (0.5, 1.0, 1.0, 1.5) * 3, slots=3),
    TargetGroup("documents", (0.6, 1.0, 1.4) * 3 + (1.0,), slots=3),
)


def _scaled_routes(factor: float) -> tuple[RouteLoad, ...]:
    return tuple(
        attrs.evolve(route, per_s=route.per_s * factor) for route in _ROUTES
    )


PATTERNS: dict[str, Pattern] = {
    "calm": Pattern("an ordinary load", _ROUTES, _GROUPS),
    "shortage": Pattern(
        "half of one upstream's targets have left the mesh",
        _scaled_routes(1.25),
        _GROUPS,
        faults=(Fault("booking", 0, _WHOLE_RUN_S, 2, removed=True),),
    ),
    "burst": Pattern(
        "twice as many callers for three seconds",
        _ROUTES,
        _GROUPS,
        bursts=(Burst(2.0, 5.0, 2.0),),
    ),
    "calls": Pattern(
        "more work than the capacity; most of it calls other upstreams",
        _CALLING_ROUTES,
        _FEW_SLOT_GROUPS,
    ),
    "thin-lines": Pattern(
        "the load of `calls` on network links that a few bodies fill",
        tuple(
            attrs.evolve(route, body_bytes=body, answer_bytes=answer)
            for route, body, answer in zip(
                _CALLING_ROUTES,
                (0, 4000, 0, 0, 0, 0),
                (1500, 5000, 1500, 400, 200, 200),
                strict=True,
            )
        ),
        _FEW_SLOT_GROUPS,
        # Bandwidth that remains of a link of 3.5 Mbit/s beside the traffic of
        # callers, membership and configurations.
        link_bytes_per_s=350_000,
    ),
    "limits": Pattern(
        "half of one upstream's targets limit the rate of their requests",
        _ROUTES,
        _GROUPS,
        faults=(Fault("booking", 2.0, _WHOLE_RUN_S, 2, limit_per_s=30.0),),
        duration_s=10.0,
    ),
    "shedding": Pattern(
        "targets refuse half of their requests unrun",
        _ROUTES,
        _GROUPS,
        faults=(Fault("records", 2.0, 6.0, 4, shed_ratio=0.5),),
    ),
    "shed-calls": Pattern(
        "all targets that running work calls refuse 55% unrun, with free slots",
        (_BALANCE, _REFUND, _ARCHIVE, _RECEIPT, _INDEX),
        _DOCUMENT_GROUPS,
        faults=(Fault("documents", 3.0, 11.5, 10, shed_ratio=0.55),),
        duration_s=13.0,
    ),
    "shed-some": Pattern(
        "the load of `shed-calls`, but only some targets refuse",
        (_BALANCE, _REFUND, _ARCHIVE, _RECEIPT, _INDEX),
        _DOCUMENT_GROUPS,
        faults=(Fault("documents", 3.0, 11.5, 4, shed_ratio=0.55),),
        duration_s=13.0,
    ),
    "uneven": Pattern(
        "targets of three speeds with pauses; the load comes in waves",
        _UNEVEN_ROUTES,
        _UNEVEN_GROUPS,
        duration_s=17.0,
        wave=Wave(amplitude=0.55, period_s=17.0),
        long_requests=_LONG_REQUESTS,
    ),
    "restart": Pattern(
        "all nodes and targets lose power; targets return cold",
        _UNEVEN_ROUTES,
        _UNEVEN_GROUPS,
        duration_s=14.0,
        long_requests=_LONG_REQUESTS,
        power_loss=PowerLoss(
            at_s=4.0, length_s=1.3, cold_s=3.0, cold_work_factor=2.0
        ),
    ),
    "slow": Pattern(
        "one target of each upstream takes six times as long",
        _ROUTES,
        _GROUPS,
        faults=(
            Fault("booking", 2.0, 6.0, 1, work_factor=6.0),
            Fault("records", 2.0, 6.0, 1, work_factor=6.0),
        ),
    ),
}
