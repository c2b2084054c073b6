"""Entry point of `agatecrossd`: takes the signals over, then loads the daemon."""

from .process_signals import ProcessSignals


def run() -> None:
    """Run the binary."""
    signals = ProcessSignals()
    signals.install_handlers()
    # Loading the libraries is most of the start; a signal then must find its handler already.
    from .startup import start

    start(signals)
