from dataclasses import replace
from pathlib import Path

from behave import given, then, when

from agatecross_adapters.toml_documents import decode_toml
from agatecross_cli.documents import read_documents
from agatecross_core.config.compile import compile_documents, lowest_rules
from agatecross_core.constants import NO_VERSION

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


@given('the example configuration "{name}"')
def load_example(context, name):
    context.documents = list(read_documents(EXAMPLES / name))


@when('"{old}" is replaced by "{new}" in document "{name}"')
def edit_document(context, old, new, name):
    edited = []
    for document in context.documents:
        if document.name == name:
            assert old in document.text, f"{old!r} is not in {name}"
            document = replace(document, text=document.text.replace(old, new, 1))
        edited.append(document)
    context.documents = edited


@then('the only finding has code "{code}" at line {line:d} and key "{key}"')
def check_finding(context, code, line, key):
    check_only_finding(context, code, line, key)


@then('the only finding has code "{code}" at line {line:d} and key ""')
def check_finding_without_key(context, code, line):
    check_only_finding(context, code, line, "")


def check_only_finding(context, code, line, key):
    _, findings = compile_documents(context.documents, decode_toml, NO_VERSION)
    rows = [(f.code, f.place.line, f.place.key) for f in findings]
    assert rows == [(code, line, key)], rows


@when('document "{name}" is "{text}" repeated {times:d} times')
def repeat_document(context, name, text, times):
    body = text.replace("~", "\n") * times + ("a = 1" if text == "a." else "")
    context.documents = [
        replace(document, text=body) if document.name == name else document
        for document in context.documents
    ]


@when('document "{name}" is "" repeated 1 times')
def empty_document(context, name):
    repeat_document(context, name, "", 1)


@then('the codes of the findings are "{codes}"')
def check_codes(context, codes):
    snapshot, findings = compile_documents(context.documents, decode_toml, NO_VERSION)
    assert snapshot is None
    assert sorted({f.code for f in findings}) == sorted(set(codes.split(","))), findings


@when('"{customers}" is added to the base')
def add_customers(context, customers):
    text = customers.replace("~", "\n")
    context.documents = [
        (
            replace(document, text=f"{document.text}\n{text}\n")
            if document.name == "base"
            else document
        )
        for document in context.documents
    ]


@then('the only finding has code "{code}" and key "{key}", and its text has no "{secret}"')
def check_finding_without_secret(context, code, key, secret):
    _, findings = compile_documents(context.documents, decode_toml, NO_VERSION)
    assert [(f.code, f.place.key) for f in findings] == [(code, key)], findings
    assert secret not in str(findings[0]), findings


@then(
    'rule set 2 finds "{codes}", rule set 3 nothing, and it is published under rule set {rules:d}'
)
def check_rule_sets(context, codes, rules):
    _, findings = compile_documents(context.documents, decode_toml, NO_VERSION, 2)
    assert [f.code for f in findings] == codes.split(), findings
    context.mesh_config, findings = compile_documents(context.documents, decode_toml, NO_VERSION, 3)
    assert not findings, findings
    assert lowest_rules(context.documents, decode_toml) == rules


@then('rule set 2 finds "", rule set 3 nothing, and it is published under rule set {rules:d}')
def check_rule_sets_without_findings(context, rules):
    check_rule_sets(context, "", rules)


@then("the customer has the rate {rate:g} and the burst {burst:g}")
def check_limit(context, rate, burst):
    for site in context.mesh_config.sites.values():
        rows = [(customer.rate, customer.burst) for customer, _ in site.customers]
        assert rows == [(rate, burst)], rows
