"""Recorded events of a fault run."""

from dataclasses import dataclass, field

from ..history import (
    Event,
)


@dataclass(slots=True)
class Recorder:
    """Events of the run, shared by threads without a lock, as appending to a list is atomic.

    `publishes` has the time at which each publish was sent, by publish id; the first publish, whose
    id the run does not know, has an empty id.
    """

    events: list[Event] = field(default_factory=list)
    publishes: dict[str, float] = field(default_factory=dict)
    newest_version: int = 0
