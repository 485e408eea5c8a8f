"""Guards against example documents that are invalid or incomplete."""

import hashlib
from pathlib import Path

import pytest

from flamingoway.document import parse_document

DOCUMENTS = Path(__file__).parent.parent / "examples" / "documents"
EXPECTED = {
    "kerbihan-planner": ({"slot-check"}, {"fit-plan", "inventory-sort"}),
    "andina-clones": ({"viability-check"}, {"lineage-plan", "panel-refresh"}),
}


@pytest.mark.parametrize("application", EXPECTED)
def test_example_is_valid_and_complete(application):
    path = DOCUMENTS / f"{application}.yaml"
    document = parse_document(path.read_bytes(), str(path))
    checks, jobs = EXPECTED[application]
    assert document.application == application
    assert {check.name for check in document.checks} == checks
    assert {job.name for job in document.jobs} == jobs
    assert document.services
    for member in document.members:
        key = f"key-{member.name}".encode()
        assert member.key_sha256 == [hashlib.sha256(key).hexdigest()]


def test_lineage_plans_are_gangs_with_the_highest_weight():
    data = (DOCUMENTS / "andina-clones.yaml").read_bytes()
    kinds = {kind.name: kind for kind in parse_document(data).jobs}
    assert kinds["lineage-plan"].policy == "gang"
    assert kinds["lineage-plan"].weight == max(k.weight for k in kinds.values())
