"""How many requests that a client has sent ahead are started before it has read their responses."""

from dataclasses import dataclass
from typing import Final

from ..constants import KIB, MIB

# Responses of one connection that may wait for the client, in bytes.
MAX_WAITING_BYTES: Final = MIB
# Assumed of each response until the first ones are known: 8 requests start at once.
FIRST_RESPONSE_BYTES: Final = 128 * KIB


@dataclass(slots=True)
class PipelineWindow:
    """Decides when the next request of a connection starts.

    `running` requests were started and have no response yet, and `waiting_bytes` is the size of the
    responses that wait for earlier ones. The size of further responses is taken from the last
    ones; after a large response, it halves with each smaller one.
    """

    running: int = 0
    waiting_bytes: int = 0
    expected_bytes: int = FIRST_RESPONSE_BYTES

    def may_start(self, unsent: int, memory_is_short: bool) -> bool:
        """Return whether one more request may start, given the bytes not yet taken by the client.

        One may always run, so that a client that reads its responses gets all of them.
        """
        if not self.running:
            return True
        due = self.waiting_bytes + unsent + (self.running + 1) * self.expected_bytes
        return not memory_is_short and due <= MAX_WAITING_BYTES

    def start(self) -> None:
        """Count a request that starts."""
        self.running += 1

    def end(self, size: int) -> None:
        """Count the response to a request that was started."""
        self.running -= 1
        self.expected_bytes = max(size, self.expected_bytes // 2)
