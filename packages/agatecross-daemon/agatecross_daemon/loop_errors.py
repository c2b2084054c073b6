"""Reports exceptions that reach the event loop."""

import traceback
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from .decision_log import DecisionLog


def log_loop_error(log: DecisionLog, context: Mapping[str, Any]) -> None:
    """Log an exception that reached the event loop, which closes the affected connection."""
    error = context.get("exception")
    frames = traceback.extract_tb(error.__traceback__)[-1:] if error is not None else ()
    place = ",".join(f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames)
    log.write_change("loop_error", message=context.get("message"), error=repr(error), place=place)
