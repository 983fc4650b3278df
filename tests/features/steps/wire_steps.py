"""Steps on frames between daemons."""

from behave import given, then, when

from hemlockspoke.messages import BadFrame, Ping, decode, encode


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
