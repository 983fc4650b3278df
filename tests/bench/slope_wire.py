"""Processor time and bytes of frames between daemons."""

from hemlockspoke.messages import (
    PROTOCOL_VERSION,
    CatalogUpdate,
    Digest,
    Hello,
    Ping,
    SubAnswerBatch,
    SubQueryBatch,
    decode,
    encode,
)
from tests.bench.slope_fit import FigureRow, SlopeRow, cpu_us, measurements, points_over

BATCH_SIZES = (1, 7, 30, 100, 1000)
TRACEPARENT = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
ROW = {"id": "bins-104-1", "version": 7, "part": 104, "value": 3_735_928_559}
FRAME_HEADER_BYTES = 4


def sub_query_batch(items):
    """Return a batch of sub-queries as an entry VM sends it."""
    return SubQueryBatch(
        request_id="9f86d081884c7d65-123456",
        service="laurentide",
        index="bins",
        version=7,
        remaining_ms=795.0,
        traceparent=TRACEPARENT,
        query={"stop": "Sainte-Foy", "radius_m": 400},
        items=[[i, f"rp-{i:05d}-a", [i]] for i in range(items)],
    )


def answer_batch(items):
    """Return a batch of answers with one row for each sub-query."""
    return SubAnswerBatch(
        request_id="9f86d081884c7d65-123456",
        items=[[i, "ok", 7, {str(i): [ROW]}] for i in range(items)],
    )


def frame_rows(name, make):
    """Return the rows of one kind of message against its items."""
    frames = {size: encode(make(size)) for size in BATCH_SIZES}
    messages = {size: make(size) for size in BATCH_SIZES}
    encoding = points_over(BATCH_SIZES, lambda n: cpu_us(lambda: encode(messages[n])))
    decoding = points_over(BATCH_SIZES, lambda n: cpu_us(lambda: decode(frames[n])))
    size = points_over(BATCH_SIZES, lambda n: len(frames[n]) + FRAME_HEADER_BYTES)
    return [
        SlopeRow(f"frame: encode {name}", "us", "item", encoding),
        SlopeRow(f"frame: decode {name}", "us", "item", decoding),
        SlopeRow(f"frame: size {name}", "B", "item", size),
    ]


def encode_decode_us(sizes):
    """Return the time in us to encode and decode batches of the given sizes."""
    sub_query_batches = [sub_query_batch(size) for size in sizes]
    answer_batches = [answer_batch(size) for size in sizes]

    def once():
        for message in [*sub_query_batches, *answer_batches]:
            decode(encode(message))

    return cpu_us(once)


@measurements.register("frames")
def frames():
    """Measure frames at several batch sizes, and batches against single calls."""
    rows = frame_rows("questions", sub_query_batch) + frame_rows(
        "answers", answer_batch
    )
    batched = points_over((7, 30, 100), lambda n: encode_decode_us([n]))
    single = points_over((7, 30, 100), lambda n: encode_decode_us([1] * n))
    rows.append(SlopeRow("frame: one batch, there and back", "us", "item", batched))
    rows.append(SlopeRow("frame: one call per item", "us", "item", single))
    return rows


@measurements.register("control frames")
def control_frames():
    """Measure the size of the small control messages."""
    update = CatalogUpdate(
        server="rp-00104-a",
        incarnation="3f2b8a1c",
        sequence=1_700_000_000_000,
        available=True,
        indexes={"bins": {"7": {"parts_total": 1700, "parts": [104]}}},
    )
    digest = Digest(
        digest="9f86d081884c7d65",
        store_contact_age_ms=12.5,
        reply=False,
        sent_ms=1234567.8,
    )
    hello = Hello(
        vm="mtl-a-0042",
        incarnation=0,
        epoch=1,
        protocol_version=PROTOCOL_VERSION,
        region="mtl",
    )
    messages = {
        "heartbeat": Ping(token=123456),
        "digest": digest,
        "hello": hello,
        "catalog update": update,
    }
    rows = []
    for name, item in messages.items():
        size = len(encode(item)) + FRAME_HEADER_BYTES
        rows.append(FigureRow(f"frame: size {name}", "B", size))
        time_us = cpu_us(lambda item=item: decode(encode(item)))
        rows.append(FigureRow(f"frame: encode and decode {name}", "us", time_us))
    return rows
