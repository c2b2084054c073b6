"""Limits and periods with their units."""

from typing import Final

from .ids import Digest, Millis, Offset, StoreEra, StreamName, Version

KIB: Final = 1024
MIB: Final = 1024 * KIB

# Streams on the log service.
CONFIG_STREAM: Final = StreamName("config")
MEMBERS_STREAM: Final = StreamName("members")
CLAIMS_STREAM: Final = StreamName("claims")

# Configuration.
NO_VERSION: Final = Version(0)
NO_DIGEST: Final = Digest("")
NO_OFFSET: Final = Offset(-1)
NO_ERA: Final = StoreEra(0)
RULE_SET_VERSION: Final = 3
# The last rule set without limits of customers.
RULE_SET_WITHOUT_LIMITS: Final = 2
MAX_OVERLAYS: Final = 64
MAX_DOCUMENT_BYTES: Final = 256 * KIB
MAX_SEEN_PUBLISH_IDS: Final = 4096
SNAPSHOT_AFTER_RECORDS: Final = 256

# Distribution.
READERS_PER_REGION: Final = 2
# Daemons of a data centre that send their whole table to a new daemon there; one may be down.
FULL_TABLE_SENDERS: Final = 2
NOTICE_FANOUT: Final = 4
PEER_SILENCE_TIMEOUT: Final = Millis(5_000)
LOG_POLL_WAIT: Final = Millis(2_000)
# With this wait, 1,300 daemons that start without peers cause 130 reads per second.
NO_PEERS_POLL_WAIT: Final = Millis(10_000)
LOG_PAGE_RECORDS: Final = 512
LOG_RETRY_BASE_DELAY: Final = Millis(500)
LOG_RETRY_MAX_DELAY: Final = Millis(10_000)
UNKNOWN_RULES_RETRY_DELAY: Final = Millis(30_000)
# 64 documents of 256 KiB need 4.5 s on a link of 30 Mbit/s.
PULL_TIMEOUT: Final = Millis(5_000)
# Longer than PULL_TIMEOUT, after which the transport reports that no answer came: this time ends
# only a pull without any report.
MAX_PULL_TIME: Final = Millis(6_000)
POSITION_PULL_PERIOD: Final = Millis(2_000)
# Time for ten pulls of a position, each from another peer, to find a reader that still has one.
POSITION_PULL_TIMEOUT: Final = Millis(20_000)

# Snapshots.
LOG_RETENTION: Final = Millis(24 * 3_600_000)
SNAPSHOT_MAX_AGE: Final = Millis(LOG_RETENTION / 4)
# While no snapshot is known, its age is unknown; a longer wait could exceed the retention time when
# readers are replaced often.
FIRST_SNAPSHOT_DELAY: Final = Millis(60_000)
# Longer than a snapshot takes to reach the other readers, so that normally only one writes it.
SNAPSHOT_RANK_DELAY: Final = Millis(2_000)
SNAPSHOT_RETRY_DELAY: Final = Millis(10_000)
SNAPSHOT_APPEND_BURST: Final = 2
SNAPSHOT_APPEND_REFILL_PERIOD: Final = Millis(60_000)

# Membership.
PROBE_PERIOD: Final = Millis(1_000)
PROBE_TIMEOUT: Final = Millis(400)
INDIRECT_PROBES: Final = 3
SUSPICION_BASE_TIMEOUT: Final = Millis(4_000)
SUSPICION_TIMEOUT_PER_DOUBLING: Final = Millis(200)
DEAD_PROBE_PERIOD: Final = Millis(10_000)
DEAD_RETENTION: Final = Millis(600_000)
LEAVE_FANOUT: Final = 4
MAX_UPDATES_PER_MESSAGE: Final = 12
MAX_MEMBERS: Final = 4096
BOOTSTRAP_ANNOUNCEMENTS: Final = 16
# During a longer pause of a daemon, a whole suspicion timeout of a peer may pass unnoticed.
MAX_TICK_GAP: Final = Millis(2_000)

# Calls.
MAX_REQUEST_BYTES: Final = 1 * MIB
MAX_RESPONSE_BYTES: Final = 8 * MIB
MAX_HEAD_BYTES: Final = 32 * KIB
MAX_CALLS_IN_FLIGHT: Final = 10_000
CONNECT_TIMEOUT: Final = Millis(500)
MAX_IDLE_CONNECTIONS_PER_PEER: Final = 64

# Upstream.
UPSTREAM_LEASE: Final = Millis(3_000)
QUEUED_CALLS_PER_SLOT: Final = 4

# Admission.
# A queue whose oldest entry has waited longer is overloaded and serves the newest entry first.
QUEUE_DELAY_TARGET: Final = Millis(100)
# Checking all entries of a full queue on each message would cost more than relaying a call.
QUEUE_SWEEP_PERIOD: Final = Millis(10)
MAX_COST_SHAPES: Final = 1024
# Weight of a new sample in the moving average of the recent cost, and in the baseline if the sample
# is below it.
RECENT_COST_WEIGHT: Final = 0.2
COST_BASELINE_FALL_WEIGHT: Final = 0.1
# A slowdown of a few seconds must not become the baseline that it is compared with.
COST_BASELINE_RISE_TIME: Final = Millis(10_000)
# An expected cost loses half its value in this time, so that refusals due to cost end on their own.
EXPECTED_COST_HALF_LIFE: Final = Millis(1_000)
# Scheduling noise of a busy host is a few milliseconds and says nothing about the upstream.
MIN_COST_BASELINE: Final = Millis(5)
LIMIT_WINDOW: Final = Millis(100)
LIMIT_MIN_SAMPLES: Final = 4
LIMIT_TOLERATED_SLOWDOWN: Final = 2.0
LIMIT_MIN_GRADIENT: Final = 0.5
LIMIT_SLOWDOWN_FLOOR_SHARE: Final = 0.25
LIMIT_SHED_FACTOR: Final = 0.7
LIMIT_GROWTH_SHARE: Final = 0.5

# HTTP.
# An idle connection is discarded before the server's own limit closes it.
CLIENT_IDLE_TIMEOUT: Final = Millis(15_000)
SERVER_HEAD_TIMEOUT: Final = Millis(60_000)
SERVER_BODY_TIMEOUT: Final = Millis(10_000)
SERVER_WRITE_TIMEOUT: Final = Millis(10_000)
# Time for the rest of a request that is partly received when its listener closes.
SERVER_LAST_READ_TIMEOUT: Final = Millis(1_000)
# A client that has learnt of the close closes its end within a few round trips.
SERVER_LINGER_TIMEOUT: Final = Millis(1_000)

# Clients' connections.
# Heads, bodies and unread responses of all clients together: 32 of the largest requests.
DEFAULT_READING_BYTES: Final = 32 * MIB
# Share of the machine's memory for them, where the settings state it.
READING_SHARE: Final = 0.2
# Control requests hold no documents: the digests of 65 documents with long names take 13 KB, 12
# members 5 KB.
DEFAULT_CONTROL_REQUEST_BYTES: Final = 256 * KIB
# Descriptors of a process that has no limit on them.
DEFAULT_DESCRIPTORS: Final = 4_096

# Idempotency.
CLAIM_BATCH_WAIT: Final = Millis(10)
IDEMPOTENCY_KEY_RETENTION: Final = Millis(15 * 60_000)
MAX_IDEMPOTENCY_KEYS: Final = 200_000
MAX_RETAINED_RESPONSE_BYTES: Final = 32 * MIB

MAX_IDEMPOTENCY_KEY_LENGTH: Final = 256
# A page of full batches stays below the limit on response bodies.
MAX_BATCH_CLAIMS: Final = 128
CLAIMS_PAGE_RECORDS: Final = 64
# The log accepts several hundred appends per second from the whole fleet.
CLAIM_APPEND_REFILL_PERIOD: Final = Millis(50)
CLAIM_APPEND_BURST: Final = 10.0
CLAIM_RETRY_WAIT: Final = Millis(50)
MAX_CLAIM_RETRY_WAIT: Final = Millis(1_000)
# A daemon without keyed calls notices within this time that the stream was lost.
CLAIMS_IDLE_READ_PERIOD: Final = Millis(30_000)
OUTCOME_POLL_PERIOD: Final = Millis(50)
OUTCOME_TIMEOUT: Final = Millis(400)
MAX_OUTCOME_REQUESTS: Final = 2
# Tolerated difference between the wall clocks of two instances.
MAX_CLOCK_SKEW: Final = Millis(5 * 60_000)

# Quarantine.
QUARANTINE_CRASH_COUNT: Final = 2
QUARANTINE_TIME: Final = Millis(10 * 60_000)
MAX_FINGERPRINTS: Final = 1024
MAX_STRIKE_NOTICES: Final = 64
# A failed call is answered once the peers have acknowledged its strike, or after this time.
STRIKE_NOTICE_TIMEOUT: Final = Millis(400)
