"""Identifiers and scalar quantities with their own types."""

from typing import NewType

Address = NewType("Address", str)
"""IP address and port, written ``ip:port``."""

DaemonId = NewType("DaemonId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
RegionName = NewType("RegionName", str)
DataCentreName = NewType("DataCentreName", str)
CustomerName = NewType("CustomerName", str)
NO_CUSTOMER = CustomerName("")
"""Stands for the calls that no customer makes."""

HomeSlot = NewType("HomeSlot", str)
"""One of the groups into which customers are divided; each has a home, written ``index/count``."""

ReportNumber = NewType("ReportNumber", int)
"""Counts the reports of one daemon to one home, from 1."""

DocumentName = NewType("DocumentName", str)
"""``base`` or the name of the data centre whose overlay it is."""

Version = NewType("Version", int)
"""Counter of accepted configurations; 0 means none."""

Digest = NewType("Digest", str)
"""Hexadecimal BLAKE2b digest of 16 bytes."""

PublishId = NewType("PublishId", str)
StreamName = NewType("StreamName", str)

StoreEra = NewType("StoreEra", int)
"""Counts how often the platform's store or log came back from an older copy of itself."""

Offset = NewType("Offset", int)
Incarnation = NewType("Incarnation", int)
CallId = NewType("CallId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ClaimId = NewType("ClaimId", str)
Fingerprint = NewType("Fingerprint", str)

InstanceId = NewType("InstanceId", str)
"""One incarnation of an upstream."""

HandoverId = NewType("HandoverId", int)
"""One transfer of a call from the entry daemon to the daemon next to an upstream."""

Millis = NewType("Millis", float)
"""Milliseconds: a duration, or a reading of a monotonic clock."""

ZERO_MS = Millis(0.0)

# The low bits of a handover id count the handovers of an entry daemon; the high bits are its own.
# With 22 of them, two of 1,300 daemons would share their ids one time in five; with 38, one time in
# 300,000.
HANDOVER_COUNTER_BITS = 24
HANDOVER_ORIGIN_BITS = 38


def handover_origin(handover_id: HandoverId) -> int:
    """Return the bits of an id that all handovers of one run of an entry daemon share."""
    return handover_id >> HANDOVER_COUNTER_BITS


def handover_counter(handover_id: HandoverId) -> int:
    """Return the number of a handover among those of its entry daemon, in order of sending."""
    return handover_id & ((1 << HANDOVER_COUNTER_BITS) - 1)
