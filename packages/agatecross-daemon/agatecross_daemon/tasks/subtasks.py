"""Coroutines that a task starts and whose results come back to its mailbox."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class Subtasks:
    """Keeps references to running coroutines and cancels them with their owner."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[object]] = set()

    def start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a coroutine and return its task."""
        task = asyncio.ensure_future(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    def cancel(self) -> None:
        """Cancel every running coroutine."""
        for task in self.running:
            task.cancel()

    async def wait(self) -> None:
        """Wait until every coroutine has ended."""
        while self.running:
            await asyncio.wait(self.running)
