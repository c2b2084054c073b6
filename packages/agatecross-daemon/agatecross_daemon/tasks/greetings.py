"""The first message on a connection to a peer."""

from collections.abc import Iterable

from agatecross_adapters.hop_messages import Hello
from agatecross_core.constants import FULL_TABLE_SENDERS
from agatecross_core.distribution.readers import select_readers
from agatecross_core.ids import DaemonId, DataCentreName, Version
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.states import UpstreamState


def new_hello(
    directory: Directory,
    version: Version,
    peer: DaemonId,
    data_centre: DataCentreName,
    announce_above: int = 0,
) -> Hello:
    """Return the hello for a peer: this daemon's endpoint, and the table or the peer's drain.

    Every daemon sends a hello to every other one, so the number of whole tables sent would grow
    with the square of the fleet. Only a few daemons of each data centre send theirs, to the
    daemons of the same data centre.
    """
    me = directory.me
    others: Iterable[Endpoint] = ()
    if data_centre == me.data_centre and _sends_table(directory):
        others = directory.others()
    elif peer != me.daemon_id and (row := directory.rows.get(peer)) is not None:
        # A drain that the peer confirmed before it restarted still applies to it.
        others = (row,) if row.state is UpstreamState.DRAINING else ()
    return Hello(me.daemon_id, me.incarnation, version, (me, *others), announce_above)


def reply_hello(directory: Directory, version: Version, hello: Hello, announce_above: int) -> Hello:
    """Return the hello in reply to that of a peer."""
    data_centre = hello.endpoints[0].data_centre if hello.endpoints else DataCentreName("")
    return new_hello(directory, version, hello.daemon_id, data_centre, announce_above)


def _sends_table(directory: Directory) -> bool:
    me = directory.me
    rows = directory.rows.values()
    same_data_centre = (row.daemon_id for row in rows if row.data_centre == me.data_centre)
    return me.daemon_id in select_readers(same_data_centre, FULL_TABLE_SENDERS)
