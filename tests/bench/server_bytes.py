"""Costs of answers without end: ``python -m tests.bench.server_bytes``.

Prints for each kind of bytes the processor time and the memory that the parser takes
until it rejects them, or for the first ``MAX_FED_BYTES``.
"""

import time
import tracemalloc

from hemlockspoke.http1.response_parser import ResponseParser
from tests.standins.raw_server import ENDLESS, WRITE_BYTES

MAX_FED_BYTES = 32 * 1024 * 1024


def feed(head, filler):
    """Return the bytes fed and the processor time in ms until they are rejected."""
    data = filler * (WRITE_BYTES // len(filler))
    parser = ResponseParser()
    started_s = time.process_time()
    parser.feed(head)
    fed_bytes = len(head)
    while not parser.malformed and fed_bytes < MAX_FED_BYTES:
        parser.feed(data)
        fed_bytes += len(data)
    return fed_bytes, (time.process_time() - started_s) * 1000


def peak_bytes(head, filler):
    """Return the most memory allocated while the bytes are parsed."""
    tracemalloc.start()
    feed(head, filler)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak


def main():
    """Print a row for each kind of bytes."""
    print("| bytes without end | fed, KB | processor time, ms | memory, KB |")
    print("|---|---|---|---|")
    for name, (head, filler) in ENDLESS.items():
        fed_bytes, took_ms = feed(head, filler)
        memory_kb = peak_bytes(head, filler) / 1024
        print(f"| {name} | {fed_bytes / 1024:.0f} | {took_ms:.1f} | {memory_kb:.0f} |")


if __name__ == "__main__":
    main()
