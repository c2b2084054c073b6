from behave import given, then, when

from agatecross_standins import history


def in_force_event(at, daemon, version, digest, routed="", services=""):
    names = [frozenset(text.split(",")) if text else frozenset() for text in (routed, services)]
    return history.InForce(at, daemon, int(version), digest, *names)


EVENT_BUILDERS = {
    "publish": lambda at, version, digest: history.Published(at, int(version), digest),
    "inforce": in_force_event,
    "undisturbed": lambda at, names: history.Undisturbed(at, frozenset(names.split(","))),
    "sent": lambda at, call, request, daemon, method: history.Sent(
        at, call, request, daemon, method == "get", "" if method == "get" else "key"
    ),
    "started": history.Started,
    "answered": lambda at, call, echo, cut="": history.Answered(at, call, echo, not cut),
    "refused": history.Refused,
    "broken": history.Broken,
    "leaving": history.Leaving,
    "returned": history.Returned,
    "shutdown": history.ShutdownBegun,
}

CLEAN_HISTORY = (
    "publish 1 1 one; inforce 2 d1 1 one vans vans; inforce 2 d2 1 one vans vans; "
    "sent 3 c1 r1 d1 post; started 4 r1 u1; answered 5 c1 r1; sent 6 c2 r1 d2 post; "
    "answered 7 c2 r1; sent 8 c3 r3 d1 get; refused 9 c3; leaving 9 u2; returned 10 u2; "
    "publish 10 2 two; inforce 11 d1 2 two; inforce 11 d2 2 two; sent 12 c4 r4 d2 get; "
    "shutdown 13 d2; started 13 r4 u2; answered 14 c4 r4; undisturbed 20 d1,d2"
)


def parse_events(text):
    for line in filter(None, map(str.strip, text.split(";"))):
        kind, at, *fields = line.split()
        yield EVENT_BUILDERS[kind](float(at), *fields)


@given("a clean history")
def start_clean_history(context):
    context.events = list(parse_events(CLEAN_HISTORY))


@when('the forged events "{events}" are added')
def add_events(context, events):
    context.events += parse_events(events)


@when('the forged events "" are added')
def add_nothing(context):
    assert context.events


@then('the violations are "{expected}"')
def check_violations(context, expected):
    found = [violation.invariant.value for violation in history.check_history(context.events)]
    assert found == [expected], found


@then('the violations are ""')
def check_no_violations(context):
    found = [str(violation) for violation in history.check_history(context.events)]
    assert found == [], found
