"""Tells whether a daemon was in touch at some time of a soak."""

from .events import History

# The larger one of the platform's limits on how soon a version must be in force.
MAX_CONFIG_APPLY_SECONDS = 3.0
# A signal disturbs a daemon until it has started again and its peers work with it.
MAX_START_SECONDS = 8.0


def is_disturbed(history: History, node: int, at: float) -> bool:
    """Return whether a fault has hit a daemon lately."""
    return any(
        affected in (node, -1) and begin <= at <= end
        for affected, begin, end in history.disturbances
    ) or any(
        restarted == node and since <= at <= since + MAX_START_SECONDS
        for restarted, since in history.restarts
    )
