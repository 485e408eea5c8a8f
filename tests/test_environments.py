"""Guards against lost, overwritten and altered environment documents."""

import asyncio

import pytest

from flamingoway.changes import describe_changes
from flamingoway.document import digest, parse_document
from flamingoway.environments import KEPT_VERSIONS, Environments
from flamingoway.errors import FlamingowayError
from flamingoway.status import Code
from flamingoway.versions import EnvironmentKeys
from tests.document_fakes import ScriptedStore, make_document, make_settings

FIRST, SECOND = make_document(1.0), make_document(2.0, "vannes")


async def no_sleep(_delay):
    """Return at once instead of sleeping."""


def make_environments(store):
    return Environments(make_settings(), store, wall=lambda: 100.0, sleep=no_sleep)


def run(scenario):
    store = ScriptedStore()
    return asyncio.run(scenario(store, make_environments(store)))


def test_promotion_keeps_the_exact_bytes():
    """Guards against a promotion that re-encodes the document."""

    async def scenario(store, environments):
        data = FIRST + b"  # layout   and comments stay\n"
        tried = await environments.try_document("trial", data, 0, "ana")
        await environments.promote("production", "trial", tried.digest, 0, "bel")
        version = await environments.current("production")
        assert version.data == data
        assert version.tried_digest == version.digest == digest(data)
        assert (version.number, version.operator) == (1, "bel")

    run(scenario)


def test_rollback_is_a_new_version_and_history_is_kept():
    """Guards against a version number that decreases on rollback."""

    async def scenario(store, environments):
        for number, data in enumerate([FIRST, SECOND]):
            tried = await environments.try_document("trial", data, number, "ana")
            await environments.promote(
                "production", "trial", tried.digest, number, "ana"
            )
        await environments.promote("production", "trial", digest(FIRST), 2, "ana")
        history = await environments.history("production")
        assert [entry.number for entry in history] == [3, 2, 1]
        assert history[0].digest == history[2].digest == digest(FIRST)
        assert (await environments.current("production")).data == FIRST
        assert await environments.changes("production", 2, 3) == [
            "~ members.brest.weight: 2.0 -> 1.0",
            "- members.vannes",
        ]

    run(scenario)


def test_conflict_shows_what_changed():
    """Guards against an operator with a stale version overwriting a newer one."""

    async def scenario(store, environments):
        await environments.try_document("trial", FIRST, 0, "ana")
        await environments.try_document("trial", SECOND, 1, "ana")
        with pytest.raises(FlamingowayError) as caught:
            await environments.try_document("trial", make_document(3.0), 1, "bel")
        error = caught.value
        assert error.code == Code.VERSION_CONFLICT
        assert error.details["current_version"] == 2
        assert error.details["operator"] == "ana"
        assert "+ members.vannes" in error.details["changed"]
        assert (await environments.current("trial")).data == SECOND

    run(scenario)


def test_concurrent_acceptance_has_one_winner():
    """Guards against accepting both documents of operators who both read version 0."""

    async def scenario(store, environments):
        async def other_operator():
            await make_environments(store).try_document("trial", SECOND, 0, "bel")

        store.before_txn = [other_operator]
        with pytest.raises(FlamingowayError) as caught:
            await environments.try_document("trial", FIRST, 0, "ana")
        assert caught.value.code == Code.VERSION_CONFLICT
        assert (await environments.current("trial")).operator == "bel"

    run(scenario)


@pytest.mark.parametrize(
    ("faults", "code", "versions"),
    [
        (["lost"], None, 1),
        (["dropped"], None, 1),
        (["lost", "down", "dropped"], None, 1),
        (["dropped", "lost"], None, 1),
        (["down"], Code.STORE_UNAVAILABLE, 0),
        (["lost"] + ["down"] * 5, Code.WRITE_UNRESOLVED, 1),
        (["dropped"] * 6, Code.WRITE_UNRESOLVED, 0),
    ],
)
def test_lost_answer_is_resolved_by_reading_back(faults, code, versions):
    """Guards against accepting twice and against reporting "not run" wrongly."""

    async def scenario(store, environments):
        store.faults = list(faults)
        try:
            await environments.try_document("trial", FIRST, 0, "ana")
        except FlamingowayError as exc:
            assert exc.code == code
        else:
            assert code is None
        assert len(await environments.history("trial")) == versions

    run(scenario)


def test_lost_answer_and_concurrent_acceptance_is_a_conflict():
    """Guards against mistaking another operator's identical document for one's own."""

    async def scenario(store, environments):
        async def nothing():
            pass

        async def other_operator():
            await make_environments(store).try_document("trial", FIRST, 0, "ana")

        store.faults = ["dropped"]
        store.before_txn = [nothing, other_operator]
        with pytest.raises(FlamingowayError) as caught:
            await environments.try_document("trial", FIRST, 0, "ana")
        assert caught.value.code == Code.VERSION_CONFLICT
        assert caught.value.details["same_bytes"]

    run(scenario)


@pytest.mark.parametrize(
    ("action", "code"),
    [
        (lambda e: e.try_document("production", FIRST, 0, "ana"), Code.FORBIDDEN),
        (lambda e: e.try_document("nowhere", FIRST, 0, "ana"), Code.NOT_FOUND),
        (
            lambda e: e.try_document(
                "trial", FIRST.replace(b"planner", b"clones"), 0, "ana"
            ),
            Code.BAD_DOCUMENT,
        ),
        (
            lambda e: e.promote("production", "trial", digest(SECOND), 0, "ana"),
            Code.NOT_TRIED,
        ),
        (
            lambda e: e.promote("production", "production", "0" * 64, 0, "ana"),
            Code.FORBIDDEN,
        ),
        (lambda e: e.version("trial", 9), Code.NOT_FOUND),
    ],
)
def test_refusals_change_nothing(action, code):
    """Guards against documents that bypass the trial environment."""

    async def scenario(store, environments):
        await environments.try_document("trial", FIRST, 0, "ana")
        before = store.engine.revision
        with pytest.raises(FlamingowayError) as caught:
            await action(environments)
        assert caught.value.code == code
        assert store.engine.revision == before

    run(scenario)


def test_old_bytes_are_removed_and_history_stays():
    """Guards against a store that grows without bound as documents change."""

    async def scenario(store, environments):
        for number in range(KEPT_VERSIONS + 2):
            await environments.try_document("trial", FIRST, number, "ana")
        prefix = EnvironmentKeys("demo").environment_versions("trial")
        assert len((await store.range(prefix)).items) == KEPT_VERSIONS
        assert len(await environments.history("trial", 2000)) == KEPT_VERSIONS + 2

    run(scenario)


def test_key_hashes_are_shown_shortened():
    """Guards against full key hashes in conflict messages."""
    old = parse_document(FIRST)
    new = parse_document(FIRST.replace(b"0" * 64, b"ab" * 32))
    assert describe_changes(old, new) == [
        "~ members.brest.key_sha256: [00000000] -> [abababab]"
    ]
