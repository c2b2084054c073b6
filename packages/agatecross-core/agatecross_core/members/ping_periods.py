"""Periods of the pings on idle links, so that their rate does not grow with the fleet."""

from collections.abc import Collection, Iterable, Mapping

from ..ids import DaemonId, Millis, RegionName
from .directory import Endpoint

PING_PERIOD = Millis(2_000)
# Traffic between regions costs money, and a change reaches each region through its relays.
REMOTE_PING_PERIOD = Millis(10_000)
# Silent links would be found one level of the push tree after the other, each within 0.9 s of the
# push. With these pings all of them are replaced 2 s after they went silent, whatever the fleet's
# size, which is within the 3 s in which the platform counts a machine as disturbed after a fault.
PUSH_PING_PERIOD = Millis(1_000)
# A daemon sends at most one idle ping in this time within its region, and to other regions. Pings
# tell the version in force, and a daemon gets as many as it sends, so that one which missed a
# change learns of it as soon in a large fleet; a link that carries a call is pinged far more often.
# The few links over which it pushes changes come on top.
PING_SPACING = Millis(100)
REMOTE_PING_SPACING = Millis(300)
# All links of a daemon may be found silent together. To dial and greet a peer takes 0.6 ms of
# a core, both ends together, so they are dialed again over this time for each link.
REDIAL_SPACING = Millis(2)


def ping_periods(
    region: RegionName, peers: Iterable[Endpoint], pushed: Collection[DaemonId]
) -> Mapping[DaemonId, Millis]:
    """Return the period of the pings to each peer of a daemon in `region`.

    Over the links to the daemons in `pushed`, it pushes changes of the configuration.
    """
    is_near = {peer.daemon_id: peer.region == region for peer in peers}
    near_count = sum(is_near.values())
    near = Millis(max(PING_PERIOD, PING_SPACING * near_count))
    remote = Millis(max(REMOTE_PING_PERIOD, REMOTE_PING_SPACING * (len(is_near) - near_count)))
    periods = {daemon_id: near if here else remote for daemon_id, here in is_near.items()}
    return periods | dict.fromkeys(periods.keys() & set(pushed), PUSH_PING_PERIOD)
