"""Runs a fleet under seeded faults and checks what callers and upstreams observed.

`python -m agatecross_standins.soak --seed=1 --seeds=5 --seconds=10` prints one line per seed and
its violations, and exits with code 1 if there are any. `--regressions` adds the seeds that have
failed before, `--only` limits the kinds of fault, and `--known_red` names a file that lists seeds
whose failure is known. The seed determines the schedule and the calls; timing differs from run to
run.
"""

import asyncio
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from absl import app, flags

from .known_red import known_red_seeds
from .regressions import REGRESSION_SEEDS
from .run import run_soak
from .schedule import FaultKind

SEED = flags.DEFINE_integer("seed", 1, "First seed.")
SEEDS = flags.DEFINE_integer("seeds", 1, "Number of consecutive seeds, run in sequence.")
REGRESSION_RUNS = flags.DEFINE_bool(
    "regressions", False, "Also run the seeds that have failed before."
)
SECONDS = flags.DEFINE_float("seconds", 10.0, "Length of the fault schedule, in seconds.")
RECOVER = flags.DEFINE_float(
    "recover", 15.0, "Seconds to recover after the last fault; the platform allows 15 s."
)
KNOWN_RED = flags.DEFINE_string(
    "known_red", None, "File that lists seeds whose violations are printed but not counted."
)
ONLY = flags.DEFINE_multi_enum(
    "only", [], [kind.value for kind in FaultKind], "Kind of fault to inject; all without it."
)
LOGS = flags.DEFINE_string("logs", None, "Directory for the daemons' logs; not deleted.")


def main(argv: Sequence[str]) -> None:
    """Run the seeds and exit with code 1 on any violation."""
    del argv
    failed = 0
    seeds = list(range(SEED.value, SEED.value + SEEDS.value))
    if REGRESSION_RUNS.value:
        seeds += [seed for seed in REGRESSION_SEEDS if seed not in seeds]
    listing = Path(KNOWN_RED.value).read_text(encoding="utf-8") if KNOWN_RED.value else ""
    known_red = known_red_seeds(listing)
    # Other faults excuse a change that is late, so some runs have silent connections only.
    kinds = [kind for kind in FaultKind if not ONLY.value or kind.value in ONLY.value]
    for seed in seeds:
        folder = Path(LOGS.value or tempfile.mkdtemp(prefix="soak-")) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(run_soak(seed, SECONDS.value, RECOVER.value, folder, kinds))
        print(f"seed {seed}: {result.summary}; logs in {folder}", flush=True)
        for text in result.violations:
            print(f"  {text}", flush=True)
        if seed in known_red:
            print(f"known red, not counted: soak seed {seed}", flush=True)
        else:
            failed += bool(result.violations)
    print(f"soak: {len(seeds) - failed} seeds without a violation, {failed} with one")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(main)
