"""Steps on the times at which queries are answered, without a network."""

from types import SimpleNamespace

from behave import given, then

from hemlockspoke.tier.requests.answer_time import AnswerTime
from hemlockspoke.tier.requests.tier_request import TierRequest
from hemlockspoke.tier.sending.timing import RouteTiming

ROUND_TRIP_MS = 1.0


@given(
    "a query with a target time of {target_ms:d} ms whose aim is {aim_ms:d} ms after "
    "its arrival"
)
def given_query(context, target_ms, aim_ms):
    # 5 ms, a fiftieth of the target time and 0.05 ms for each shard.
    shard_count = round((target_ms - aim_ms - ROUND_TRIP_MS - 5 - 2) / 0.05)
    route = SimpleNamespace(
        target_ms=float(target_ms),
        timeout_ms=1000.0,
        shards=[f"shard-{number}" for number in range(shard_count)],
        regions=(),
        priority=1,
    )
    http = SimpleNamespace(
        received_ms=0.0, opened_connection=False, caller_rtt_ms=ROUND_TRIP_MS
    )
    metadata = SimpleNamespace(attempt_id="a1", remaining_ms=None)
    request = TierRequest(http, route, 1, metadata, RouteTiming(), [])
    assert abs(request.aim_ms - aim_ms) < 0.1, request.aim_ms
    context.times = AnswerTime.from_request(request)


@then("an answer that is possible {time_ms:d} ms after its arrival {sent}")
def then_answer_sent(context, time_ms, sent):
    assert context.times.is_due(time_ms + 0.1) == (sent == "is sent"), time_ms
