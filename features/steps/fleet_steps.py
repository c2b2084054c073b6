import json
import shutil
import tempfile
from pathlib import Path

from behave import given, then, when

from agatecross_standins.fleet import Fleet, Site, fetch

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
REGIONS = {
    "aarhus-a": "jylland",
    "aalborg-b": "jylland",
    "koebenhavn-a": "sjaelland",
    "roskilde-b": "sjaelland",
}


@given('a fleet of {count:d} upstream for each of "{services}" at "{data_centres}"')
def start_fleet(context, count, services, data_centres):
    context.fleet = getattr(context, "fleet", None) or Fleet()
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)
    for data_centre in data_centres.split(","):
        for service in services.split(",") * count:
            context.fleet.add_node(Site(REGIONS[data_centre], data_centre), service)
    context.fleet.wait_joined()


@when('the example configuration "{name}" is published')
def publish_example(context, name):
    context.result = context.fleet.run_cli("publish", str(EXAMPLES / name))


@when(
    'the example configuration "{name}" is published with the customer "{customer}" holding "{key}"'
)
def publish_with_customer(context, name, customer, key):
    with tempfile.TemporaryDirectory() as folder:
        shutil.copytree(EXAMPLES / name, folder, dirs_exist_ok=True)
        with (Path(folder) / "base.toml").open("a") as base:
            base.write(f'\n[customers.{customer}]\nkeys = ["{key}"]\n')
        context.result = context.fleet.run_cli("publish", folder)


@then(
    'every daemon answers a call to "{path}" with "-" by 401, with "{unknown}" by 401 '
    'and with "{key}" by 200 for "{customer}"'
)
def check_calls_with_keys(context, path, unknown, key, customer):
    for node in context.fleet.nodes:
        url = node.call_url + path
        assert fetch(url)[0] == 401, node.name
        assert fetch(url, headers={"Authorization": f"Token {unknown}"})[0] == 401, node.name
        status, _, body = fetch(url, headers={"Authorization": f"Token {key}"})
        assert status == 200, (node.name, status, body)
        seen = json.loads(body)
        assert (seen["customer"], seen["credentials"]) == (customer, ""), seen


@then('no process of the fleet has written "{text}"')
def check_not_written(context, text):
    for path in context.fleet.directory.glob("*.out"):
        assert text not in path.read_text(), path.name


@then("the client ends with code {code:d}")
def check_client(context, code):
    assert context.result.returncode == code, (context.result.stdout, context.result.stderr)


@then('every daemon answers a call to "{path}" by service "{service}"')
def check_calls(context, path, service):
    for node in context.fleet.nodes:
        status, headers, body = fetch(node.call_url + path)
        assert status == 200, (node.name, status, body)
        assert headers["Agatecross-Outcome"] == "ran", headers
        assert json.loads(body)["service"] == service, body


@then("a daemon that gets SIGTERM exits with code {code:d}")
def check_shutdown(context, code):
    assert context.fleet.stop_daemon(context.fleet.nodes[-1]) == code
