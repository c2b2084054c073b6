"""Counts scenarios for CI and skips those listed in KNOWN-RED.txt."""

from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RESULT_FILE = ROOT / "build" / "test-result.txt"
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


def before_all(context):
    context.counts = Counter()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    context.known_red = {line[6:].strip() for line in lines if line.startswith("test: ")}


def before_scenario(context, scenario):
    if scenario.name.strip() in context.known_red:
        print(f"known red, not run: {scenario.name}")
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context, scenario):
    status = scenario.status.name
    context.counts[status if status in ("passed", "skipped") else "failed"] += 1


def after_all(context):
    counts = context.counts
    skipped = f", {counts['skipped']} skipped" if counts["skipped"] else ""
    RESULT_FILE.parent.mkdir(exist_ok=True)
    RESULT_FILE.write_text(f"{counts['passed']} passed, {counts['failed']} failed{skipped}\n")
