"""Steps on the time that unreadable entries of the largest size take."""

import time

from behave import then, when

from hemlockspoke.http1.json_calls import decode_body
from hemlockspoke.platform.feeds import KindSource
from hemlockspoke.platform.store import StoreReply

# The store's limit on an object.
ENTRY_BYTES = 1_000_000
DEEP_LISTS = b"[" * 1200 + b"]" * 1200
ELEMENTS = {
    "empty lists": b"[]",
    "nested lists": b"[[[[[[[[[[]]]]]]]]]]",
    "empty strings": b'""',
    "numbers": b"7",
    "small objects": b'{"":0}',
    "long numbers": b"9" * 5001,
    "bare words": b"word",
    "deep lists": DEEP_LISTS,
}
FAULTS = {
    "a long number": b"9" * 5001,
    "deep lists": DEEP_LISTS,
    "a bare word": b"word",
    "500 bare words": b",".join([b"word"] * 500),
}
SERVER = (
    b'{"service":"items","address":"10.0.0.1:80","zone":"a1","slots":2,'
    b'"state":"draining"}'
)


class DecodingCalls:
    """Replies to each watch with the bytes of a page."""

    def __init__(self, content):
        self._content = content
        self.malformed_count = 0

    def watch(self, kind, revision, wait_ms, grace_ms, on_reply):
        """Decode the page as the calls to the store do."""
        on_reply(StoreReply(200, decode_body(self._content)))

    def count_malformed(self):
        """Count a malformed object."""
        self.malformed_count += 1


def changed(name, spec):
    """Return the bytes of the change of an object."""
    meta = b'{"name":"%s","revision":7}' % name
    return b'{"object":{"meta":%s,"spec":%s},"removed":false}' % (meta, spec)


@when(
    "another writer changes an entry of 1 MB that consists of {elements} with {fault}"
)
def step_large_entry(context, elements, fault):
    fault_bytes, element = FAULTS[fault], ELEMENTS[elements]
    count = (ENTRY_BYTES - len(fault_bytes)) // (len(element) + 1)
    slots = b",".join([element] * count + [fault_bytes])
    events = [changed(b"odd", b'{"slots":[%s]}' % slots), changed(b"item-a1", SERVER)]
    calls = DecodingCalls(
        b'{"events":[%s],"current_rev":7}' % b",".join(events),
    )
    pages = []
    started_s = time.thread_time()
    KindSource(calls, "servers").watch(6, 1000.0, 600.0, pages.append)
    context.took_ms = 1000.0 * (time.thread_time() - started_s)
    context.calls, context.page = calls, pages[0]


@then("the change is read within {limit_ms:d} ms of processor time")
def step_read_in_time(context, limit_ms):
    assert context.took_ms < limit_ms, context.took_ms
    odd = context.page.changes[0]
    assert (odd.name, odd.spec, odd.removed) == ("odd", None, False), odd.name
    assert context.calls.malformed_count == 1


@then("the change of a server beside it is read")
def step_other_read(context):
    server = context.page.changes[1]
    assert server.name == "item-a1" and server.spec["state"] == "draining"
