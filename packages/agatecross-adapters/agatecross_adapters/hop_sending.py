"""Sends messages over hop connections."""

from dataclasses import dataclass

from .frames import FrameConnection
from .hop_codec import encode_hop_message
from .hop_messages import CONFIRMED_MESSAGES, ORDERED_MESSAGES, HopMessage


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """A message that is encoded once and may be sent over several connections.

    `in_order` is set if messages of its type build on each other, `must_confirm` if nobody would
    notice that it is lost.
    """

    frame: bytes
    in_order: bool
    must_confirm: bool

    def send_on(self, connection: FrameConnection) -> None:
        """Send the message over a connection."""
        if self.in_order:
            connection.send_in_order(self.frame)
        else:
            connection.send(self.frame)


def encode_for_sending(message: HopMessage) -> EncodedMessage:
    """Encode a message."""
    return EncodedMessage(
        encode_hop_message(message),
        isinstance(message, ORDERED_MESSAGES),
        isinstance(message, CONFIRMED_MESSAGES),
    )


def send_hop_message(connection: FrameConnection, message: HopMessage) -> None:
    """Encode a message and send it."""
    encode_for_sending(message).send_on(connection)
