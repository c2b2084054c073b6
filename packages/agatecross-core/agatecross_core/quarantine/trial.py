"""Selects the daemon that may try a request that was in flight when an upstream died."""

import hashlib
from collections.abc import Iterable, Set

from ..ids import DaemonId, Fingerprint
from ..members.directory import Endpoint
from ..members.records import Member
from ..states import MemberState, UpstreamState


def select_trial_daemon(
    fingerprint: Fingerprint, members: Iterable[Member], struck: Set[DaemonId]
) -> DaemonId | None:
    """Return the one daemon that tries the request; it is the same on all daemons with this view.

    Otherwise, requests that are resubmitted through several daemons at once could crash several
    upstreams before the second strike is known. Members without a strike are preferred, because an
    upstream that crashed may not be back yet.
    """
    ready = [
        m.daemon_id
        for m in members
        if m.state is MemberState.ALIVE
        and m.upstream is not None
        and m.upstream.state is UpstreamState.READY
    ]
    unstruck = [daemon_id for daemon_id in ready if daemon_id not in struck]
    candidates = unstruck or ready
    return max(candidates, key=lambda daemon_id: _weight(fingerprint, daemon_id), default=None)


def select_trial_endpoint(
    fingerprint: Fingerprint, endpoints: Iterable[Endpoint], struck: Set[DaemonId]
) -> Endpoint | None:
    """Return the one endpoint that tries a suspected request, as for `select_trial_daemon`."""
    ready = [row for row in endpoints if row.state is UpstreamState.READY]
    candidates = [row for row in ready if row.daemon_id not in struck] or ready
    return max(candidates, key=lambda row: _weight(fingerprint, row.daemon_id), default=None)


def _weight(fingerprint: Fingerprint, daemon_id: DaemonId) -> bytes:
    return hashlib.blake2b(f"{fingerprint} {daemon_id}".encode(), digest_size=8).digest()
