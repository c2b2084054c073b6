"""The first message on a connection to a peer."""

from agatecross_adapters.hop_messages import Hello
from agatecross_core.constants import FULL_TABLE_SENDERS
from agatecross_core.distribution.readers import select_readers
from agatecross_core.ids import DaemonId, DataCentreName, Version
from agatecross_core.members.directory import Directory
from agatecross_core.states import UpstreamState


def new_hello(
    directory: Directory, version: Version, peer: DaemonId, data_centre: DataCentreName
) -> Hello:
    """Return the hello for a peer: this daemon's endpoint, and the table or the peer's drain.

    Every daemon sends a hello to every other one, so the number of whole tables sent would grow
    with the square of the fleet. Only a few daemons of each data centre send theirs, to the
    daemons of the same data centre.
    """
    me = directory.me
    others = [
        endpoint for endpoint in directory.rows.values() if endpoint.daemon_id != me.daemon_id
    ]
    same_data_centre = [
        endpoint.daemon_id for endpoint in others if endpoint.data_centre == me.data_centre
    ]
    table_senders = select_readers((me.daemon_id, *same_data_centre), FULL_TABLE_SENDERS)
    if data_centre != me.data_centre or me.daemon_id not in table_senders:
        # A drain that the peer confirmed before it restarted still applies to it.
        others = [
            endpoint
            for endpoint in others
            if endpoint.daemon_id == peer and endpoint.state is UpstreamState.DRAINING
        ]
    return Hello(me.daemon_id, me.incarnation, version, (me, *others))


def reply_hello(directory: Directory, version: Version, hello: Hello) -> Hello:
    """Return the hello in reply to that of a peer."""
    data_centre = hello.endpoints[0].data_centre if hello.endpoints else DataCentreName("")
    return new_hello(directory, version, hello.daemon_id, data_centre)
