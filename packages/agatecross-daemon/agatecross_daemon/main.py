"""Entry point of `agatecrossd`: installs the signal handlers, then loads the daemon."""

from .process_signals import ProcessSignals


def run() -> None:
    """Run `agatecrossd`."""
    signals = ProcessSignals()
    signals.install_handlers()
    # Importing the libraries takes most of the start, and signals may arrive during it.
    from .startup import start

    start(signals)
