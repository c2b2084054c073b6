"""Sends messages over hop connections."""

from .frames import FrameConnection
from .hop_codec import encode_hop_message
from .hop_messages import ORDERED_MESSAGES, HopMessage


def send_hop_message(connection: FrameConnection, message: HopMessage) -> None:
    """Encode a message and send it, in order if messages of its type build on each other."""
    frame = encode_hop_message(message)
    if isinstance(message, ORDERED_MESSAGES):
        connection.send_in_order(frame)
    else:
        connection.send(frame)
