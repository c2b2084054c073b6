"""Reads the settings and runs the daemon that they describe."""

import asyncio
import gc
import sys
from collections.abc import Coroutine, Sequence
from functools import partial
from pathlib import Path
from typing import Any

from absl import app, flags, logging

from agatecross_core.config.documents import DecodedDocument
from agatecross_core.errors import SettingsError

from .process_signals import ProcessSignals
from .settings_file import read_settings
from .sidecar_settings import SidecarSettings, is_sidecar_settings, sidecar_settings

SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file (TOML).", required=True)

EXIT_INVALID_SETTINGS = 2


def new_daemon(decoded: DecodedDocument, signals: ProcessSignals) -> Coroutine[Any, Any, None]:
    """Return the main coroutine of the daemon; raises `SettingsError`.

    Imports only the modules of the configured kind of daemon; the libraries of the other kind
    would take up memory.
    """
    if is_sidecar_settings(decoded):
        from agatecross_platform.front_end import PlatformFrontEnd

        from .sidecar import serve as serve_sidecar

        settings = sidecar_settings(decoded)
        front_end = PlatformFrontEnd(settings)
        return serve_sidecar(settings, front_end, read_sidecar_settings, signals)
    from .fleet_daemon import serve
    from .settings import fleet_settings

    return serve(fleet_settings(decoded), signals)


def read_sidecar_settings() -> SidecarSettings:
    """Read the settings file of `--settings`; raises `SettingsError` or `OSError`."""
    return sidecar_settings(read_settings(Path(SETTINGS.value)))


def main(argv: Sequence[str], signals: ProcessSignals) -> None:
    """Read the settings and run the daemon."""
    if len(argv) > 1:
        raise app.UsageError("agatecrossd takes no arguments")
    logging.set_verbosity(logging.INFO)
    try:
        daemon = new_daemon(read_settings(Path(SETTINGS.value)), signals)
    except (SettingsError, OSError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    # The modules hold 40,000 objects that stay for good; a full collection that looks at them takes
    # 27 ms, during which no call is served.
    gc.freeze()
    try:
        asyncio.run(daemon)
    finally:
        signals.ignore_all()


def start(signals: ProcessSignals) -> None:
    """Parse the command line and run the daemon."""
    app.run(partial(main, signals=signals))
