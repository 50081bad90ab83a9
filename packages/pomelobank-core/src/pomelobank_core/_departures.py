"""Records the targets that have announced their departure."""

from collections import OrderedDict

import attrs

from pomelobank_schema.generated.records import (
    DepartureRecord,
    TargetAnnouncement,
)

# Maximum number of departures in memory. A node needs only the departures of
# its own target, but a departure in the log may name any target of the mesh.
# The limit covers the targets that the mesh replaces within minutes.
_MAX_DEPARTURES = 4096


@attrs.define(eq=False)
class Departures:
    """Departures of targets, to detect announcements of departing targets.

    A target announces its departure once and may continue to announce itself
    as ready until its process ends. A node that relied on those announcements
    would route requests to the target that fail when the target ends.

    Attributes:
        latest: The newest departure by instance, or by address if the target
            has no instance name.
    """

    latest: OrderedDict[str, DepartureRecord] = attrs.field(factory=OrderedDict)

    def add(self, departure: DepartureRecord) -> None:
        """Records that a target departs, or that a departed target returned."""
        key = departure.instance or departure.address
        previous = self.latest.get(key)
        if previous is not None and _is_earlier(departure, previous):
            return
        if departure.returned:
            self.latest.pop(key, None)
            return
        self.latest[key] = departure
        while len(self.latest) > _MAX_DEPARTURES:
            self.latest.popitem(last=False)

    def has_departed(self, target: TargetAnnouncement) -> bool:
        """Returns whether a target, or a later start of it, has departed."""
        departure = self.latest.get(target.instance or target.address)
        return departure is not None and is_departure_of(departure, target)


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
    return 0 < first.started_at_ms < second.started_at_ms
