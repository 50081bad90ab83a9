"""The list of the node's metrics."""

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

ALL = tuple(
    value
    for name, value in sorted(globals().items())
    if isinstance(value, Instrument)
)
