"""Remembers which targets have said that they leave."""

from collections import OrderedDict

import attrs

from pomelobank_schema.generated.records import (
    DepartureRecord,
    TargetAnnouncement,
)

# A node has one target at a time, and a record of the log may name any of the
# mesh; those of the last minutes are as many as the mesh replaces.
_REMEMBERED = 4096


@attrs.define(eq=False)
class Departures:
    """Tells whether a target that announces itself has said that it leaves.

    A target says so once and may go on announcing itself as ready until it
    ends. Believed, it would get requests that are cut off with it.

    Attributes:
        latest: The newest departure by the target's name, or by its address
            where it has none.
    """

    latest: OrderedDict[str, DepartureRecord] = attrs.field(factory=OrderedDict)

    def add(self, departure: DepartureRecord) -> None:
        """Takes the word of a target that it leaves, or has returned."""
        key = departure.instance or departure.address
        known = self.latest.get(key)
        if known is not None and _is_earlier(departure, known):
            return
        if departure.returned:
            self.latest.pop(key, None)
            return
        self.latest[key] = departure
        while len(self.latest) > _REMEMBERED:
            self.latest.popitem(last=False)

    def has_departed(self, target: TargetAnnouncement) -> bool:
        """Returns whether a target has left, or a later start of it."""
        departure = self.latest.get(target.instance or target.address)
        return departure is not None and is_departure_of(departure, target)


def is_departure_of(
    departure: DepartureRecord, target: TargetAnnouncement
) -> bool:
    """Returns whether a departure is that of a target.

    A target may start again under its id. The word of an earlier start that
    was held up must not take the later one out, which would never come back.
    """
    if departure.instance != target.instance:
        return False
    if not departure.instance and departure.address != target.address:
        return False
    if not departure.started_at_ms or not target.started_at_ms:
        return True
    return target.started_at_ms <= departure.started_at_ms


def _is_earlier(one: DepartureRecord, other: DepartureRecord) -> bool:
    return 0 < one.started_at_ms < other.started_at_ms
