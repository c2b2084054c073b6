"""Mailboxes, through which tasks exchange messages."""

import asyncio
import time
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from agatecross_core.ids import Millis

M = TypeVar("M")
Q = TypeVar("Q")
A = TypeVar("A")
M_contra = TypeVar("M_contra", contravariant=True)


class Sender(Protocol[M_contra]):
    """The sending end of a mailbox."""

    def put(self, message: M_contra) -> None:
        """Deliver a message without waiting."""
        ...


@dataclass(frozen=True, slots=True)
class FanOut(Generic[M]):
    """Delivers each message to several mailboxes, in order."""

    receivers: "tuple[Sender[M], ...]"

    def put(self, message: M) -> None:
        """Deliver a message without waiting."""
        for receiver in self.receivers:
            receiver.put(message)


class Mailbox(Generic[M]):
    """Message queue of one task."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[M] = asyncio.Queue()

    def put(self, message: M) -> None:
        """Deliver a message without waiting."""
        self.queue.put_nowait(message)

    async def get(self) -> M:
        """Wait for the next message."""
        return await self.queue.get()


@dataclass(frozen=True, slots=True)
class Ask(Generic[Q, A]):
    """A message of the ask pattern: its sender waits for the reply."""

    payload: Q
    reply: asyncio.Future[A]

    def answer(self, answer: A) -> None:
        """Set the reply, unless the sender no longer waits."""
        if not self.reply.done():
            self.reply.set_result(answer)


def new_ask(payload: Q) -> "Ask[Q, A]":
    """Return a message whose reply is a new future."""
    return Ask(payload, asyncio.get_running_loop().create_future())


def monotonic_ms() -> Millis:
    """Return the time of the monotonic clock in milliseconds."""
    return Millis(time.monotonic() * 1000)


def boottime_ms() -> Millis:
    """Return the time of a clock in milliseconds that goes on while the machine is suspended."""
    return Millis(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)
