import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when


def run_client(*arguments):
    command = [sys.executable, "-m", "agatecross_cli", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


@then('the answer\'s status is {status:d} and the trace of its id ends with "{cause}"')
def step_traced(context, status, cause):
    assert context.answer.status == status, context.answer
    log_paths = context.testbed.log_paths()
    result = run_client("trace", f"c{next(context.testbed.call_numbers) - 1}", *log_paths)
    assert result.returncode == 0, result
    assert result.stdout.splitlines()[-1].startswith(f"cause: {cause}:"), result.stdout


@then('the causes of the logs count it as "{cause}"')
def step_causes(context, cause):
    result = run_client("causes", *context.testbed.log_paths())
    rows = [line.split() for line in result.stdout.splitlines()]
    assert any(row[0] == "1" and row[-1] == cause for row in rows), result.stdout


@given("the logs of several daemons in one file")
@given("a log with")
def step_log(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log_file = Path(folder.name) / "d0.log"
    context.log_file.write_text(context.text + "\n")


@given('a log "{name}" with')
def step_named_log(context, name):
    if not hasattr(context, "log_files"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.log_folder, context.log_files = Path(folder.name), []
    path = context.log_folder / name
    path.parent.mkdir()
    path.write_text(context.text + "\n")
    context.log_files.append(path)


@when('the client runs "{arguments}" on them')
def step_client_on_all(context, arguments):
    context.client_result = run_client(*arguments.split(), *context.log_files)


@when('the client runs "{arguments}" on it')
def step_client(context, arguments):
    context.client_result = run_client(*arguments.split(), context.log_file)


@then('it ends with code {code:d} and shows "{text}"')
def step_shows(context, code, text):
    result = context.client_result
    assert result.returncode == code, result
    wanted = text.replace("\\n", "\n")
    if "LOG" in wanted:
        wanted = wanted.replace("LOG", str(context.log_file))
    assert wanted in result.stdout, result.stdout


def draw_failed_calls(context, count, seed):
    command = [sys.executable, "-m", "agatecross_standins.trace_sample", context.log_file]
    flags = [f"--count={count}", f"--seed={seed}"]
    return subprocess.run([*command, *flags], capture_output=True, text=True, timeout=60)


@when("{count:d} failed calls are drawn with seed {seed:d}")
def step_draw(context, count, seed):
    context.draws = [draw_failed_calls(context, count, seed) for _ in range(2)]


@then('{drawn:d} of {failed:d} are drawn, the same both times, and the table has "{rows}"')
def step_drawn(context, drawn, failed, rows):
    first, second = context.draws
    assert first.stdout == second.stdout and first.returncode == 0, context.draws
    assert f"{drawn} of {failed} failed calls" in first.stdout, first.stdout
    found = [line.split(" | ")[:3] for line in first.stdout.splitlines() if line.startswith("| ")]
    shown = {" ".join(row).removeprefix("| ") for row in found[2:]}
    assert len(shown) == drawn, first.stdout
    assert shown >= set(filter(None, rows.split(", "))), first.stdout


@then('{drawn:d} of {failed:d} are drawn, the same both times, and the table has ""')
def step_drawn_any(context, drawn, failed):
    step_drawn(context, drawn, failed, "")
