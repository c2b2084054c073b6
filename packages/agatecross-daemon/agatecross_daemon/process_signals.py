"""Signals to the process, from its first line to its end."""

import signal
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # Loading asyncio takes a good part of the start, and signals are taken over before it.
    from asyncio import AbstractEventLoop

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

SignalAction = Callable[[], object]


class ProcessSignals:
    """Keeps the signals that come before the event loop runs, and passes later ones to it.

    The default action of a signal ends the process with the signal's code: before the handlers of
    an event loop are set, and after the loop was closed, which sets the default actions again.
    """

    def __init__(self) -> None:
        self.pending: list[signal.Signals] = []
        self.actions: Mapping[signal.Signals, SignalAction] = {}
        self.loop: AbstractEventLoop | None = None

    def install_handlers(self) -> None:
        """Replace the default actions.

        The interpreter itself takes some 60 ms before this. A supervisor that sends signals so
        early can start the process with them blocked; they are delivered now.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._handle_signal)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    def attach(
        self, loop: "AbstractEventLoop", actions: Mapping[signal.Signals, SignalAction]
    ) -> None:
        """Run the actions of the signals that came so far, and of later ones on the loop.

        A signal without an action is ignored.
        """
        self.actions = actions
        self.loop = loop
        for number in self.pending:
            self._run_action(number)

    def ignore_all(self) -> None:
        """Ignore signals from now on; the process is ending by itself."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _handle_signal(self, number: int, frame: object) -> None:
        del frame
        if self.loop is None:
            self.pending.append(signal.Signals(number))
        elif not self.loop.is_closed():
            # The handler runs between any two lines of the loop's own code.
            self.loop.call_soon_threadsafe(self._run_action, signal.Signals(number))

    def _run_action(self, number: signal.Signals) -> None:
        action = self.actions.get(number)
        if action is not None:
            action()
