"""Guards against store calls missing from the metrics."""

import asyncio

import pytest

from flamingoway.errors import FlamingowayError
from flamingoway.metrics import Metrics
from flamingoway.store import Compare, Put
from flamingoway.store.counted import CountedStore
from tests.document_fakes import ScriptedStore

ABSENT, PRESENT = Compare("k", "mod_revision", 0), Compare("k", "mod_revision", 9)


@pytest.mark.parametrize(
    ("fault", "compare", "result"),
    [
        (None, ABSENT, "ok"),
        (None, PRESENT, "failed_compare"),
        ("lost", ABSENT, "unknown"),
        ("down", ABSENT, "unavailable"),
    ],
)
def test_calls_are_counted_by_result(fault, compare, result):
    """Guards against errors that are counted as answers."""
    metrics = Metrics([], [])

    async def main():
        store = ScriptedStore()
        store.faults = [fault] if fault else []
        try:
            await CountedStore(store, metrics).txn([compare], [Put("k", b"v")])
        except FlamingowayError:
            assert fault

    asyncio.run(main())
    line = f'flamingoway_store_calls_total{{call="txn",result="{result}"}} 1.0'
    assert line in metrics.render().decode()
