"""Signal handling from the start of the process to its end."""

import signal
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # Importing asyncio takes a large part of the start-up time; the handlers are installed first.
    from asyncio import AbstractEventLoop

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

SignalAction = Callable[[], object]


class ProcessSignals:
    """Queues signals that arrive before the event loop runs, and passes later ones to it.

    Without it, a signal that arrives before the handlers of the event loop are set would end the
    process with the signal's exit code. So would one that arrives after the loop is closed, because
    closing it restores the default actions.
    """

    def __init__(self) -> None:
        self.pending: list[signal.Signals] = []
        self.actions: Mapping[signal.Signals, SignalAction] = {}
        self.loop: AbstractEventLoop | None = None

    def install_handlers(self) -> None:
        """Replace the default actions and unblock the signals.

        The interpreter takes about 60 ms to get here. A supervisor that may send signals earlier
        can start the process with them blocked; they are delivered here.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._handle_signal)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    def attach(
        self, loop: "AbstractEventLoop", actions: Mapping[signal.Signals, SignalAction]
    ) -> None:
        """Run the actions of the signals received so far, and run those of later ones on the loop.

        A signal without an action is ignored.
        """
        self.actions = actions
        self.loop = loop
        for number in self.pending:
            self._run_action(number)

    def ignore_all(self) -> None:
        """Ignore further signals; the process is already exiting."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _handle_signal(self, number: int, frame: object) -> None:
        del frame
        if self.loop is None:
            self.pending.append(signal.Signals(number))
        elif not self.loop.is_closed():
            # This handler may interrupt the loop anywhere, so the action is scheduled instead.
            self.loop.call_soon_threadsafe(self._run_action, signal.Signals(number))

    def _run_action(self, number: signal.Signals) -> None:
        action = self.actions.get(number)
        if action is not None:
            action()
