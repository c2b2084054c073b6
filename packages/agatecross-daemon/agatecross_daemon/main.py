"""Entry point of `agatecrossd`: installs the signal handlers, then loads the daemon."""

from .process_signals import ProcessSignals


def run() -> None:
    """Run `agatecrossd`."""
    signals = ProcessSignals()
    signals.install_handlers()
    # Importing the libraries takes most of the start-up time, and signals may arrive meanwhile.
    from .startup import start

    start(signals)
