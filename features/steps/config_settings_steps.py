import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then

from agatecross_core.errors import SettingsError
from agatecross_daemon.settings import load_settings

SETTINGS = """[daemon]
id = "d"
region = "r"
data_centre = "a"
host = "127.0.0.1"
call_port = 7001
peer_port = 7002
control_port = 7003
admin_port = 7004
seed = 1

[log]
address = "127.0.0.1:9000"

[policy]
balancing = "adaptive"

[limits]
memory_mb = 200
descriptors = 4096
control_request_kb = 256
"""


@given('valid settings in which "{old}" is replaced by "{new}"')
def write_settings(context, old, new):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.settings = Path(directory.name) / "settings.toml"
    context.settings.write_text(SETTINGS)
    load_settings(context.settings)
    replace_in_settings(context, old, new)


@given('valid settings in which "{old}" is replaced by ""')
def write_settings_without(context, old):
    write_settings(context, old, "")


@given('"{old}" is replaced by "{new}" in the settings')
def replace_in_settings(context, old, new):
    text = context.settings.read_text()
    assert old in text
    context.settings.write_text(text.replace(old, new, 1))


@then('the settings have the finding "{finding}" and no other')
def check_settings(context, finding):
    try:
        load_settings(context.settings)
    except SettingsError as error:
        assert str(error) == f"{context.settings}:{finding}", error
    else:
        raise AssertionError("the settings were accepted")


@then('a daemon with these settings exits with code {code:d} and shows lines "{lines}"')
def check_daemon(context, code, lines):
    command = [sys.executable, "-m", "agatecross_daemon", f"--settings={context.settings}"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    assert result.returncode == code, result
    shown = [row.split(":")[1] for row in result.stderr.splitlines()]
    assert shown == lines.split(", "), result.stderr
