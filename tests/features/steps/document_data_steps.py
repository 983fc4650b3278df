"""Steps on the data that is stored beside a document's text."""

from pathlib import Path
from unittest import mock

from behave import given, then, when

from hemlockspoke.config import document_check
from hemlockspoke.config.document_check import check_document
from hemlockspoke.config.document_data import stored_data
from hemlockspoke.config.yaml_reader import read_yaml

CHANGES = {
    "the digest is altered": lambda data: data.update(text_digest="0"),
    "a server is removed": lambda data: data["value"]["servers"].popitem(),
    "the value is a list": lambda data: data.update(value=[1]),
}


def store(context, text):
    context.document_text = text
    context.document_data = stored_data(text, read_yaml(text).root)


def as_plain_value(item):
    """Return a document as maps, lists and scalars."""
    if isinstance(item, dict):
        return {key: as_plain_value(value) for key, value in item.items()}
    if isinstance(item, list):
        return [as_plain_value(value) for value in item]
    slots = getattr(type(item), "__slots__", None)
    if slots is None:
        return item
    return {name: as_plain_value(getattr(item, name)) for name in slots}


@given('the example "{name}" with the data that is stored beside it')
def step_example(context, name):
    store(context, Path(f"examples/{name}.yaml").read_text(encoding="utf-8"))


@when("{change} in the stored data")
def step_change(context, change):
    CHANGES[change](context.document_data)


@then("the document from its data equals the document from its text")
def step_equal(context):
    with mock.patch.object(document_check, "read_yaml", wraps=read_yaml) as reader:
        from_data = check_document(context.document_text, data=context.document_data)
    context.read_count = reader.call_count
    assert as_plain_value(from_data.ok) == as_plain_value(
        check_document(context.document_text).ok
    )


@then("the text is not read")
def step_not_read(context):
    assert context.read_count == 0


@then("the text is read")
def step_read(context):
    assert context.read_count == 1


@given("a document text with a mistake, stored with its data")
def step_mistake(context):
    store(context, "service: shop\nowner: o\nsevrers: {}\n")


@then("the check of both reports the line of the mistake")
def step_line(context):
    findings = list(
        check_document(context.document_text, data=context.document_data).error
    )
    lines = [finding.line for finding in findings if "sevrers" in finding.found]
    assert lines == [3], [str(finding) for finding in findings]
