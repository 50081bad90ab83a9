"""Definitions of the node's metrics."""

from pomelobank_node._metrics import Instrument

CONFIG_VERSION = Instrument(
    "pomelobank.config.version",
    "1",
    "Configuration version in force.",
)
CONFIG_BLOCKED = Instrument(
    "pomelobank.config.blocked",
    "1",
    "1 while a record of an unknown kind stops the replay.",
)
LOG_UP = Instrument(
    "pomelobank.log.up",
    "1",
    "Whether the last call to the log succeeded.",
)
LOG_READS = Instrument(
    "pomelobank.log.reads",
    "1",
    "Reads sent to the log.",
    monotonic=True,
)
LOG_APPENDS = Instrument(
    "pomelobank.log.appends",
    "1",
    "Appends sent to the log.",
    monotonic=True,
)
LOG_BYTES_READ = Instrument(
    "pomelobank.log.read_size",
    "By",
    "Bytes of the log's answers to reads.",
    monotonic=True,
)
MEMBERS = Instrument(
    "pomelobank.members",
    "1",
    "Members that the node knows, itself included.",
    label="state",
)
PEER_BYTES_SENT = Instrument(
    "pomelobank.peer.sent_size",
    "By",
    "Bytes sent to peers: configuration, membership and forwarded requests.",
    monotonic=True,
)
REQUESTS_IN_FLIGHT = Instrument(
    "pomelobank.target.in_flight",
    "1",
    "Requests that are at the node's own target.",
)
TARGET_SLOTS = Instrument(
    "pomelobank.target.slots",
    "1",
    "Requests that the node's own target runs at once.",
)
REQUESTS = Instrument(
    "pomelobank.requests",
    "1",
    "Callers' requests that ended, by error kind; 'answered' where an"
    " upstream answered.",
    label="outcome",
    monotonic=True,
)

CONFIG_READY = Instrument(
    "pomelobank.config.ready",
    "1",
    "1 while the node may serve callers.",
)
CONFIG_APPLIED = Instrument(
    "pomelobank.config.applied",
    "1",
    "Records applied.",
    monotonic=True,
)
CONFIG_UNREADABLE = Instrument(
    "pomelobank.config.unreadable",
    "1",
    "Records passed over because no node can read them.",
    monotonic=True,
)
CONFIG_LOG_AGE = Instrument(
    "pomelobank.config.log_age",
    "ms",
    "Time since the newest read of the log by any node that this one"
    " knows of; -1 for none.",
)
CONFIG_LAG = Instrument(
    "pomelobank.config.lag",
    "ms",
    "Time from its author's call until the newest change was in force here.",
)
CONFIG_READER = Instrument(
    "pomelobank.config.reader",
    "1",
    "1 while the node reads the log for its data centre.",
)
CONFIG_BYTES_SENT = Instrument(
    "pomelobank.config.sent_size",
    "By",
    "Bytes of configuration frames sent to peers.",
    label="frame",
    monotonic=True,
)
CONFIG_SENDS_FAILED = Instrument(
    "pomelobank.config.sends_failed",
    "1",
    "Configuration frames that no peer took.",
    monotonic=True,
)
CONFIG_USEFUL = Instrument(
    "pomelobank.config.pushes_useful",
    "1",
    "Pushes received that moved the version on.",
    monotonic=True,
)
CONFIG_USELESS = Instrument(
    "pomelobank.config.pushes_useless",
    "1",
    "Pushes received that brought nothing new.",
    monotonic=True,
)
CONFIG_SNAPSHOTS = Instrument(
    "pomelobank.config.snapshots",
    "1",
    "Snapshots that this node appended to the log.",
    monotonic=True,
)
MEMBERS_SUSPECTED = Instrument(
    "pomelobank.members.suspected",
    "1",
    "Suspicions that this node began.",
    monotonic=True,
)
MEMBERS_REFUTED = Instrument(
    "pomelobank.members.refutations",
    "1",
    "How often others held this node to be suspect or gone.",
    monotonic=True,
)
MEMBERS_PAUSES = Instrument(
    "pomelobank.members.pauses",
    "1",
    "How often this process stood still.",
    monotonic=True,
)
PEER_LATE_FRAMES = Instrument(
    "pomelobank.peer.late_frames",
    "1",
    "Frames that came after their request had ended.",
    monotonic=True,
)
PEER_REFUSED_STREAMS = Instrument(
    "pomelobank.peer.refused_streams",
    "1",
    "Streams of peers refused because there were too many.",
    monotonic=True,
)
TARGET_WAITING = Instrument(
    "pomelobank.target.waiting",
    "1",
    "Requests that wait for a slot of the node's own target.",
)
TARGET_WAITS = Instrument(
    "pomelobank.target.waits",
    "1",
    "Requests that had to wait for a slot.",
    monotonic=True,
)
TARGET_WAITED = Instrument(
    "pomelobank.target.waited",
    "ms",
    "Time that requests have waited for a slot, in all.",
    monotonic=True,
)
TARGET_LIMIT = Instrument(
    "pomelobank.target.limit",
    "1",
    "Requests that are tried at once; below the slots while the target"
    " sheds or is slow.",
)
TARGET_REFUSED = Instrument(
    "pomelobank.target.refused",
    "1",
    "Requests refused for want of a slot in time.",
    monotonic=True,
)
TARGET_EXPIRED = Instrument(
    "pomelobank.target.expired",
    "1",
    "Requests whose deadline passed while they waited.",
    monotonic=True,
)
TARGET_DECLINED = Instrument(
    "pomelobank.target.declined",
    "1",
    "Offers that would have waited longer than they were to.",
    monotonic=True,
)
TARGET_RATE_LIMIT = Instrument(
    "pomelobank.target.rate_limit",
    "1/s",
    "Requests per second that the target takes, as its responses say; 0"
    " without a limit.",
)
TARGET_RATE_LIMITED = Instrument(
    "pomelobank.target.rate_limited",
    "1",
    "Requests rejected because of the target's rate limit.",
    monotonic=True,
)
TARGET_RANDOM_REJECTIONS = Instrument(
    "pomelobank.target.random_rejections",
    "1",
    "Requests that the node's own target rejected although it had free slots.",
    monotonic=True,
)
TARGET_RANDOM_SHARE = Instrument(
    "pomelobank.target.random_rejection_share",
    "1",
    "Recent share of the requests for the node's own target that it rejected"
    " although it had free slots.",
)
TARGET_CRASHES = Instrument(
    "pomelobank.target.crashes",
    "1",
    "Crashes of the node's own target.",
    monotonic=True,
)
TARGET_LAPSES = Instrument(
    "pomelobank.target.lapses",
    "1",
    "How often the target fell silent.",
    monotonic=True,
)
BAD_ANNOUNCEMENTS = Instrument(
    "pomelobank.target.bad_announcements",
    "1",
    "Announcements that were refused.",
    monotonic=True,
)
RETRIES = Instrument(
    "pomelobank.retries",
    "1",
    "Retries that were sent.",
    label="upstream",
    monotonic=True,
)
RETRIES_DENIED = Instrument(
    "pomelobank.retries.denied",
    "1",
    "Retries that the budget did not allow.",
    label="upstream",
    monotonic=True,
)
TURNED_AWAY = Instrument(
    "pomelobank.requests.turned_away",
    "1",
    "Requests refused at the entry because every target had just refused.",
    monotonic=True,
)
EJECTIONS = Instrument(
    "pomelobank.placing.ejections",
    "1",
    "How often this node stopped sending to a failing target.",
    monotonic=True,
)
SPILLS = Instrument(
    "pomelobank.placing.spills",
    "1",
    "Requests sent to another data centre though the own one has a target.",
    monotonic=True,
)
SUSPECT_REQUESTS = Instrument(
    "pomelobank.quarantine.entries",
    "1",
    "Fingerprints that are suspected of crashing targets or quarantined.",
)
QUARANTINE_REFUSED = Instrument(
    "pomelobank.quarantine.refused",
    "1",
    "Requests refused as quarantined.",
    monotonic=True,
)
CLAIM_KEYS = Instrument(
    "pomelobank.claims.keys",
    "1",
    "Idempotency keys that this node remembers.",
)
CLAIMS_FORWARDED = Instrument(
    "pomelobank.claims.forwarded",
    "1",
    "Keyed requests sent to another claiming node.",
    monotonic=True,
)
CLAIMS_REFUSED = Instrument(
    "pomelobank.claims.refused",
    "1",
    "Claims refused for want of budget or log.",
    monotonic=True,
)
CLAIM_ANSWER_SIZE = Instrument(
    "pomelobank.claims.answer_size",
    "By",
    "Bytes of answers kept for resends.",
)

LATENCY = Instrument(
    "pomelobank.requests.within",
    "1",
    "Requests that were answered within so many ms.",
    label="le",
    monotonic=True,
)
LATENCY_SUM = Instrument(
    "pomelobank.requests.answer_time",
    "ms",
    "Sum of the times to an answer.",
    monotonic=True,
)
LOST_RUNS = Instrument(
    "pomelobank.requests.lost_runs",
    "1",
    "Running requests that probably lost their work because one of their calls"
    " was rejected.",
    monotonic=True,
)
HEDGED = Instrument(
    "pomelobank.hedges",
    "1",
    "Overdue requests that were sent to a second target.",
    monotonic=True,
)
HEDGES_WON = Instrument(
    "pomelobank.hedges.won",
    "1",
    "Overdue requests that the second target answered first.",
    monotonic=True,
)
SOURCE_UP = Instrument(
    "pomelobank.source.up",
    "1",
    "Whether the last read of published configurations succeeded.",
)
SOURCE_READS = Instrument(
    "pomelobank.source.reads",
    "1",
    "Reads of published configurations.",
    monotonic=True,
)
CONFIG_DELAY = Instrument(
    "pomelobank.config.delay",
    "ms",
    "Time from the first node's read of the published configuration in force"
    " until it came into force on this node.",
)
CONFIG_QUERIES = Instrument(
    "pomelobank.config.queries",
    "1",
    "Times that this node queried peers for the newest read of the source,"
    " because no heartbeat had arrived.",
    monotonic=True,
)
CONFIG_PULLS = Instrument(
    "pomelobank.config.pulls",
    "1",
    "Published configurations that this node requested from a peer.",
    monotonic=True,
)
CONFIG_PUSHES = Instrument(
    "pomelobank.config.pushes",
    "1",
    "Published configurations that this node sent at the request of a peer.",
    monotonic=True,
)
KEYS_AGE = Instrument(
    "pomelobank.keys.age",
    "ms",
    "Age of this node's knowledge of the source, which bounds the acceptance of"
    " keys; -1 if it has none.",
)
KEYS_QUERIES = Instrument(
    "pomelobank.keys.queries",
    "1",
    "Queries sent to peers for the age of their knowledge of the source.",
    monotonic=True,
)
KEYS_STALE = Instrument(
    "pomelobank.keys.stale",
    "1",
    "Requests with a key that were rejected because the node's knowledge of the"
    " source was too old.",
    monotonic=True,
)
CONNECTIONS_CLOSED = Instrument(
    "pomelobank.connections.closed",
    "1",
    "Requests of clients that were refused, and connections that were closed,"
    " because of a limit.",
    label="reason",
    monotonic=True,
)
CONNECTIONS_OPEN = Instrument(
    "pomelobank.connections.open",
    "1",
    "Open connections of callers.",
)
BUFFERS_HELD = Instrument(
    "pomelobank.buffers.held_size",
    "By",
    "Bytes that clients and peers make the node hold.",
)
BUFFERS_CAPACITY = Instrument(
    "pomelobank.buffers.capacity_size",
    "By",
    "Bytes that clients and peers may make the node hold.",
)
LINES_DROPPED = Instrument(
    "pomelobank.log_lines.dropped",
    "1",
    "Failed requests without a line in the log, because there were too many.",
    monotonic=True,
)
CAP_TOKENS = Instrument(
    "pomelobank.caps.tokens",
    "1",
    "Tokens that this node granted as the authority of usage caps.",
    monotonic=True,
)
CAP_ACTIVITY = Instrument(
    "pomelobank.caps.activity",
    "1",
    "Tokens that this node granted as the first authority or a later one, used,"
    " lost or got back, and attempts of capped requests that may have run; by"
    " workspace in the log lines caps.activity.",
    label="kind",
    monotonic=True,
)
CAP_REFUSED = Instrument(
    "pomelobank.caps.refused",
    "1",
    "Requests refused at this entry because a usage cap was reached.",
    monotonic=True,
)
CAP_UNAVAILABLE = Instrument(
    "pomelobank.caps.unavailable",
    "1",
    "Requests refused at this entry because no authority of the usage cap was"
    " reached.",
    monotonic=True,
)
CAP_UNANSWERED = Instrument(
    "pomelobank.caps.unanswered",
    "1",
    "Requests for tokens that got no grant in time.",
    monotonic=True,
)
CAP_AUTHORITIES = Instrument(
    "pomelobank.caps.authority_changes",
    "1",
    "Times that another authority than before replied for a workspace.",
    monotonic=True,
)
CAP_RESETS = Instrument(
    "pomelobank.caps.resets",
    "1",
    "Times that votes ended and took stored tokens of this node along.",
    monotonic=True,
)
CAP_SHARE = Instrument(
    "pomelobank.caps.share",
    "1",
    "Shards of the workspaces whose usage caps this node may grant; a part of a"
    " shard where it has only a part of the votes.",
)
OUTPUT_DROPPED = Instrument(
    "pomelobank.log_lines.unwritten",
    "1",
    "Lines dropped because nobody read the node's output.",
    monotonic=True,
)
LOOP_LONGEST_TURN = Instrument(
    "pomelobank.loop.longest_turn",
    "ms",
    "Longest time since the start between two polls, in which no other request"
    " was read.",
)
LOOP_LONG_TURNS = Instrument(
    "pomelobank.loop.long_turns",
    "1",
    "Turns of the event loop that are logged as long.",
    monotonic=True,
)
LOOP_LONGEST_STRETCH = Instrument(
    "pomelobank.loop.longest_stretch",
    "ms",
    "Longest time since the start in which the process did not wait.",
)
LOOP_STRETCH_PROCESSOR = Instrument(
    "pomelobank.loop.stretch_processor",
    "ms",
    "Most processor time since the start that the process used without a wait.",
)
LOOP_ITERATIONS = Instrument(
    "pomelobank.loop.iterations_without_wait",
    "1",
    "Most iterations of the event loop since the start between two waits.",
)
LOOP_UNMOVED_POLLS = Instrument(
    "pomelobank.loop.unmoved_polls",
    "1",
    "Most consecutive polls since the start that reported the same descriptors"
    " and whose handlers moved no byte; 0 below the number that is logged.",
)

WORKSPACE_REQUESTS = Instrument(
    "pomelobank.workspaces.requests",
    "1",
    "Accepted requests with an API key, by workspace; '(other)' for the"
    " workspaces that are not named.",
    label="workspace",
    monotonic=True,
)
WORKSPACE_REJECTED = Instrument(
    "pomelobank.workspaces.rejected",
    "1",
    "Requests with a known API key that were rejected by the usage cap or"
    " because the node's keys were too old, by workspace.",
    label="workspace",
    monotonic=True,
)
KEYS_REJECTED = Instrument(
    "pomelobank.keys.rejected",
    "1",
    "Requests rejected for want of a known API key, by reason;"
    " 'newer_version' where a newer configuration may contain the key.",
    label="reason",
    monotonic=True,
)

ROLLOUTS_RUNNING = Instrument(
    "pomelobank.rollouts.running",
    "1",
    "Roll-outs whose revision is not proven yet.",
)
ROLLOUTS_EXPOSED = Instrument(
    "pomelobank.rollouts.exposed",
    "1",
    "Requests that this node sent to unproven revisions.",
    monotonic=True,
)
ROLLOUTS_LIMITED = Instrument(
    "pomelobank.rollouts.limited_targets",
    "1",
    "Targets that get no requests, or a small share only, because of their"
    " revision.",
)
ROLLOUTS_CONDEMNED = Instrument(
    "pomelobank.rollouts.reverted",
    "1",
    "Roll-outs that this node found bad.",
    monotonic=True,
)
ROLLOUTS_STORED = Instrument(
    "pomelobank.rollouts.stored",
    "1",
    "1 while the states of all known roll-outs are stored.",
)

ALL = tuple(
    value
    for name, value in sorted(globals().items())
    if isinstance(value, Instrument)
)

# Metrics of only those nodes whose configuration is published by a platform.
SIDECAR_ONLY = (
    SOURCE_UP,
    SOURCE_READS,
    CONFIG_QUERIES,
    CONFIG_DELAY,
    CONFIG_PULLS,
    CONFIG_PUSHES,
    KEYS_AGE,
    KEYS_QUERIES,
    KEYS_STALE,
    CAP_TOKENS,
    CAP_ACTIVITY,
    CAP_REFUSED,
    CAP_UNAVAILABLE,
    CAP_UNANSWERED,
    CAP_AUTHORITIES,
    CAP_RESETS,
    CAP_SHARE,
    ROLLOUTS_RUNNING,
    ROLLOUTS_EXPOSED,
    ROLLOUTS_LIMITED,
    ROLLOUTS_CONDEMNED,
    ROLLOUTS_STORED,
    OUTPUT_DROPPED,
)
