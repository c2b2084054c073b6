"""States and outcomes that several modules share."""

from enum import Enum


class MemberState(Enum):
    """State of a daemon as seen by its peers."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class UpstreamState(Enum):
    """State that an upstream announces to the daemon next to it."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class UpstreamRequest(Enum):
    """Request that an upstream sends to the daemon next to it."""

    HEARTBEAT = "heartbeat"
    LEAVE = "leave"


class DaemonState(Enum):
    """State of this daemon towards callers."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Outcome(Enum):
    """What is known about the execution of a call."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a call was refused or its outcome is unknown."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    NO_UPSTREAM = "no-upstream"
    STALE_VIEW = "stale-view"
    LEAVING = "leaving"
    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    TOO_MANY_CALLS = "too-many-calls"
    SHED = "shed"
    RETRY_BUDGET = "retry-budget"
    QUARANTINED = "quarantined"
    SUSPECTED = "suspected"
    LOG_UNAVAILABLE = "log-unavailable"
    CLAIMS_FULL = "claims-full"
    KEY_HOLDER_GONE = "key-holder-gone"
    RESPONSE_EVICTED = "response-evicted"
    KEY_MISMATCH = "key-mismatch"
    CLAIMS_INCOMPLETE = "claims-incomplete"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    TIMEOUT = "timeout"
    BAD_REQUEST = "bad-request"
    NO_KEY = "no-key"
    UNKNOWN_KEY = "unknown-key"
    CUSTOMER_LIMIT = "customer-limit"
    OVERLOADED = "overloaded"
    OVER_SHARE = "over-share"
    LIMITED = "limited"
    WRONG_INSTANCE = "wrong-instance"
    BAD_ANSWER = "bad-answer"
    ANSWER_TOO_LARGE = "answer-too-large"
    CANCELLED = "cancelled"
    CUT = "cut"
    FENCED = "fenced"
    # A reason of a later release, received from another daemon.
    OTHER = "other"


class WorkClass(Enum):
    """Class of a call by its observed cost."""

    SHORT = "short"
    LONG = "long"


class Locality(Enum):
    """Distance between this daemon and a member, nearest first."""

    DATA_CENTRE = 0
    REGION = 1
    REMOTE = 2


class PublishVerdict(Enum):
    """Result of applying one publish record to the configuration state."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    CONFLICT = "conflict"
    DUPLICATE = "duplicate"
    UNKNOWN_RULES = "unknown-rules"
    UNDECODABLE = "undecodable"


class ClaimedCallState(Enum):
    """State of the call that made a claim, as known to the holder of the claim."""

    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"
    NOT_STARTED = "not-started"


class AppendState(Enum):
    """What is known about an append: written, certainly not written, or its answer was lost."""

    WRITTEN = "landed"
    REFUSED = "refused"
    LOST = "lost"
