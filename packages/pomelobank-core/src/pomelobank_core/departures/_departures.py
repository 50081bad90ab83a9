"""Records the targets that have announced their departure."""

import itertools
from collections import OrderedDict
from collections.abc import Iterable

import attrs
import xxhash

from pomelobank_schema import encode
from pomelobank_schema.generated.records import (
    DepartureRecord,
    TargetAnnouncement,
)

# Maximum number of departures in memory, which a node keeps for its peers too.
# The limit covers the targets that the mesh replaces within days.
_MAX_DEPARTURES = 4096


@attrs.define(eq=False)
class Departures:
    """Departures of targets, to detect announcements of departing targets.

    A target announces its departure once and may continue to announce itself
    as ready until its process ends. A node that relied on those announcements
    would route requests to the target that fail when the target ends.

    Attributes:
        latest: The newest record by instance, or by address if the target has
            no instance name. A record of a return stays, so that an earlier
            departure that a peer still knows has no effect.
    """

    latest: OrderedDict[str, DepartureRecord] = attrs.field(factory=OrderedDict)

    def add(self, departure: DepartureRecord) -> bool:
        """Records that a target departs, or that a departed target returned.

        Nodes add the same records in different orders, so a record that is
        earlier than the known one is ignored.

        Returns:
            Whether the record is new.
        """
        key = key_of(departure)
        previous = self.latest.get(key)
        if previous is not None and (
            departure == previous or _is_earlier(departure, previous)
        ):
            return False
        self.latest[key] = departure
        self.latest.move_to_end(key)
        while len(self.latest) > _MAX_DEPARTURES:
            self.latest.popitem(last=False)
        return True

    def add_all(self, departures: Iterable[DepartureRecord]) -> bool:
        """Adds records; returns whether one of them is new."""
        return sum(map(self.add, departures)) > 0

    def has_departed(self, target: TargetAnnouncement) -> bool:
        """Returns whether a target, or a later start of it, has departed."""
        departure = self.latest.get(target.instance or target.address)
        return (
            departure is not None
            and not departure.returned
            and is_departure_of(departure, target)
        )

    def newest(self, limit: int) -> list[DepartureRecord]:
        """Returns the records that were added last, the oldest of them first.

        Args:
            limit: Maximum number of records.
        """
        skipped = max(0, len(self.latest) - limit)
        return list(itertools.islice(self.latest.values(), skipped, None))


def digest_of(departures: Iterable[DepartureRecord]) -> int:
    """Returns a hash of departures that does not depend on their order."""
    digest = 0
    for item in departures:
        digest ^= xxhash.xxh3_64_intdigest(encode(item))
    # Signed, because the frames carry signed integers.
    return digest - (1 << 63)


def key_of(departure: DepartureRecord) -> str:
    """Returns the name of a departing target, or its address without one."""
    return departure.instance or departure.address


def is_departure_of(
    departure: DepartureRecord, target: TargetAnnouncement
) -> bool:
    """Returns whether a departure applies to a target.

    A target may restart under the same id. A delayed departure of an earlier
    start must not remove the later start, because no record would ever return
    the later start to service.
    """
    if departure.instance != target.instance:
        return False
    if not departure.instance and departure.address != target.address:
        return False
    if not departure.started_at_ms or not target.started_at_ms:
        return True
    return target.started_at_ms <= departure.started_at_ms


def _is_earlier(first: DepartureRecord, second: DepartureRecord) -> bool:
    if 0 < first.started_at_ms < second.started_at_ms:
        return True
    if 0 < second.started_at_ms < first.started_at_ms:
        return False
    return 0 < first.at_ms < second.at_ms
