"""Steps on frames between daemons."""

import zlib

import msgpack
from behave import given, then, when

from hemlockspoke.messages import BadFrame, Ping, decode, encode
from hemlockspoke.tier.messages import StoreChanges


@given("a ping with token {token:d}")
def step_ping(context, token):
    context.message = Ping(token=token)


@when("it is encoded and decoded")
def step_round_trip(context):
    context.message = decode(encode(context.message))


@then("the ping has token {token:d}")
def step_token(context, token):
    assert context.message.token == token


@when("the frame {frame} is decoded")
def step_decode(context, frame):
    try:
        decode(bytes.fromhex(frame))
    except BadFrame as error:
        context.error = str(error)
    else:
        context.error = ""


@then('it is refused with "{reason}"')
def step_refused(context, reason):
    assert reason in context.error, context.error


@given("changes of the store with {count:d} servers")
def given_changes(context, count):
    changes = [
        [f"i-{number:x}", False, {"service": f"items-{number % 90}", "state": "ready"}]
        for number in range(count)
    ]
    context.message = context.sent = StoreChanges(
        kind="servers",
        era=0,
        since=0,
        revision=9,
        changes=changes,
        complete=True,
        age_ms=0,
        more=False,
    )


@then("it is as before, and the frame had at most a third of its bytes")
def then_compressed(context):
    assert context.message == context.sent
    fields = [context.sent.type_name, *context.sent.to_fields()]
    assert 3 * len(encode(context.sent)) <= len(msgpack.packb(fields))


@then("it is encoded only once")
def then_encoded_once(context):
    assert encode(context.sent) is encode(context.sent)


@when("a compressed frame that {defect} is decoded")
def when_malformed_compressed(context, defect):
    frame = zlib.compress(msgpack.packb(["ping", 7]))
    frames = {
        "is cut": frame[:-3],
        "has further bytes": frame + b"x",
        "expands to 5 MB": zlib.compress(bytes(5_000_000)),
        "is no zlib": b"\x78rest",
        "holds no message": zlib.compress(b"\xc1"),
    }
    step_decode(context, frames[defect].hex())
