"""Runs a fleet under a seeded schedule of faults and checks its history.

`python -m agatecross_standins.faults --seed=1 --seconds=30` prints counts and violations and exits
with code 1 if there are any violations. The seed determines the schedule and the calls; timing
differs from run to run.
"""

import sys
from collections import Counter
from collections.abc import Sequence

from absl import app, flags

from ..history import (
    check_history,
)
from .run import run_faults

SEED = flags.DEFINE_integer("seed", 1, "Seed of the schedule and of the calls.")
SECONDS = flags.DEFINE_float("seconds", 30.0, "Length of the fault schedule, in seconds.")


def main(argv: Sequence[str]) -> None:
    """Run the faults, print counts and violations, and exit with code 1 on any violation."""
    del argv
    events, faults = run_faults(SEED.value, SECONDS.value)
    for name, count in sorted(faults.items()):
        print(f"fault {name}: {count}")
    for name, count in sorted(Counter(type(event).__name__ for event in events).items()):
        print(f"events {name}: {count}")
    violations = list(check_history(events))
    for violation in violations:
        print(violation)
    print(f"seed {SEED.value}: {len(violations)} violations")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    app.run(main)
