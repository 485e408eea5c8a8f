"""The ``traceparent`` header of W3C Trace Context, version 00."""

import random
import re

_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
_ZERO_TRACE = "0" * 32
_ZERO_SPAN = "0" * 16


def trace_id(traceparent: str) -> str:
    """Return the trace id of a header, or an empty string if it is not valid."""
    match = _TRACEPARENT.fullmatch(traceparent)
    if match is None or match[1] == _ZERO_TRACE or match[2] == _ZERO_SPAN:
        return ""
    return match[1]


def next_hop(traceparent: str, rng: random.Random) -> str:
    """Return the header for the next hop: same trace, new span.

    A header that is not valid starts a new trace.
    """
    bits = rng.getrandbits(192)
    trace = trace_id(traceparent)
    flags = traceparent[-2:] if trace else "01"
    trace = trace or f"{bits >> 64 | 1:032x}"
    span = bits & 0xFFFFFFFFFFFFFFFF | 1
    return f"00-{trace}-{span:016x}-{flags}"
