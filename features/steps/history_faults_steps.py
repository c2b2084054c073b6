import subprocess
import sys

from behave import then, when


@when("faults with seed {seed:d} run for {seconds:d} seconds")
def run_faults(context, seed, seconds):
    command = [sys.executable, "-m", "agatecross_standins.faults"]
    context.result = subprocess.run(
        [*command, f"--seed={seed}", f"--seconds={seconds}"],
        capture_output=True,
        text=True,
        timeout=240,
        check=False,
    )


@then("the history has no violations")
def check_result(context):
    result = context.result
    assert result.returncode == 0, (result.stdout[-8_000:], result.stderr[-4_000:])
    assert "0 violations" in result.stdout, result.stdout[-2_000:]
