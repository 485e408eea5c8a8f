"""Guards against a check that runs twice under one idempotency key."""

import uuid

import pytest

from flamingoway.core.idempotency import (
    MAX_SKEW_S,
    OWNERSHIP_MARGIN_S,
    RETENTION_S,
    KeyTable,
    OwnerHistory,
    check_skew,
    owner_of,
    parse_key,
)
from flamingoway.errors import BadRequest, OutcomeUnknown
from flamingoway.status import Code

WALL = 1_800_000_000.0
SCOPE = ("kerbihan-trial", "agency", "key")


def make_key(stamp: float, number: int = 0) -> str:
    """Return a UUIDv7 with a stamp in seconds."""
    value = int(stamp * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


@pytest.mark.parametrize(
    "text", ["", "key", str(uuid.UUID(int=4 << 76 | 2 << 62)), "0" * 32, "é" * 36]
)
def test_a_key_that_is_not_a_uuid7_is_refused(text):
    with pytest.raises(BadRequest) as caught:
        parse_key(text)
    assert caught.value.code == Code.BAD_KEY


def test_two_spellings_are_the_same_key():
    """Guards against a second run by a key in upper case or without hyphens."""
    text = make_key(WALL, 0xABCDEF)
    spellings = [text, text.upper(), text.replace("-", ""), f"{{{text}}}"]
    assert len({parse_key(spelling).text for spelling in spellings}) == 1
    assert parse_key(text).stamp == WALL


def test_a_key_from_the_future_is_refused():
    """Guards against a stamp that passes the takeover guard by a wrong clock."""
    check_skew(parse_key(make_key(WALL + MAX_SKEW_S - 1)), WALL)
    with pytest.raises(BadRequest) as caught:
        check_skew(parse_key(make_key(WALL + MAX_SKEW_S + 1)), WALL)
    assert caught.value.code == Code.BAD_KEY


def test_a_duplicate_gets_the_outcome_of_the_first():
    table = KeyTable()
    entry, new = table.begin(SCOPE, b"d", WALL, WALL)
    again, second = table.begin(SCOPE, b"d", WALL, WALL)
    assert (new, second, again) == (True, False, entry)
    table.finish(entry, "answer", 6)
    late, third = table.begin(SCOPE, b"d", WALL, WALL + RETENTION_S - 1)
    assert (third, late.outcome) == (False, "answer")


def test_a_key_with_another_body_is_refused():
    table = KeyTable()
    table.begin(SCOPE, b"one", WALL, WALL)
    with pytest.raises(BadRequest) as caught:
        table.begin(SCOPE, b"two", WALL, WALL)
    assert caught.value.code == Code.KEY_REUSED


def test_a_key_that_did_not_run_may_run_later():
    table = KeyTable()
    entry, _ = table.begin(SCOPE, b"d", WALL, WALL)
    table.forget(entry)
    assert table.begin(SCOPE, b"d", WALL, WALL)[1]


def assert_ambiguous(table, scope, stamp, wall):
    """Check that a key is not run."""
    with pytest.raises(OutcomeUnknown) as caught:
        table.begin(scope, b"d", stamp, wall)
    assert caught.value.code == Code.KEY_AMBIGUOUS


@pytest.mark.parametrize("finished", [True, False])
def test_a_key_past_the_retention_is_never_run_again(finished):
    """Guards against a second run after the outcome was dropped."""
    table = KeyTable()
    entry, _ = table.begin(SCOPE, b"d", WALL, WALL)
    if finished:
        table.finish(entry, "answer", 6)
    assert_ambiguous(table, SCOPE, WALL, WALL + RETENTION_S + 1)
    assert len(table) == 0


def test_memory_is_bounded_and_dropped_keys_are_not_run_again():
    table = KeyTable(max_entries=10, max_bytes=50)
    for number in range(100):
        scope = ("e", "m", str(number))
        entry, _ = table.begin(scope, b"d", WALL + number, WALL + number)
        table.finish(entry, "answer", 10)
    assert len(table) <= 11
    assert_ambiguous(table, ("e", "m", "0"), WALL, WALL + 100)
    assert_ambiguous(table, ("e", "m", "93"), WALL + 93, WALL + 100)
    kept, _ = table.begin(("e", "m", "99"), b"d", WALL + 99, WALL + 100)
    assert kept.outcome == "answer"


def test_forgotten_keys_do_not_fill_the_memory():
    table = KeyTable(max_entries=10)
    for number in range(1000):
        entry, _ = table.begin(("e", "m", str(number)), b"d", WALL, WALL)
        table.forget(entry)
    assert len(table._by_stamp) <= 21


def test_a_fenced_key_is_never_run_here():
    """Guards against a run at the former owner after the new one has run the key."""
    table = KeyTable()
    assert table.fence(SCOPE, WALL, WALL, "start-1").fenced_for == "start-1"
    assert table.fence(SCOPE, WALL, WALL, "start-2").fenced_for == "start-1"
    assert_ambiguous(table, SCOPE, WALL, WALL)


def test_a_key_below_the_floor_is_not_given_to_a_new_owner():
    """Guards against "unknown key" for one whose outcome was dropped."""
    table = KeyTable()
    entry = table.fence(SCOPE, WALL, WALL + RETENTION_S, "start-1")
    assert entry.fenced_for == ""


def key_owned_by(owner, processes, without):
    """Return a key of ``owner`` that belongs to ``without`` in its absence."""
    for number in range(1000):
        key = make_key(WALL, number)
        rest = set(processes) - {owner}
        if owner_of(key, processes) == owner and owner_of(key, rest) == without:
            return key
    raise AssertionError("no such key")


def test_only_the_keys_of_a_process_that_left_change_owner():
    """Guards against a change of all owners with each restart."""
    processes = {"p1", "p2", "p3"}
    keys = [make_key(WALL, number) for number in range(300)]
    for key in keys:
        if owner_of(key, processes) != "p3":
            assert owner_of(key, processes - {"p3"}) == owner_of(key, processes)


def test_ownership_counts_from_the_last_takeover():
    history = OwnerHistory("p1")
    key = key_owned_by("p2", {"p1", "p2"}, "p1")
    history.observe({"p1", "p2"}, WALL)
    assert history.owned_since(key) is None
    history.observe({"p1"}, WALL + 10)
    assert history.owned_since(key) == WALL + 10
    assert history.previous_owner(key) == "p2"
    history.observe({"p1", "p2"}, WALL + 20)
    history.observe({"p1"}, WALL + 30)
    assert history.owned_since(key) == WALL + 30


def test_a_former_owner_knows_what_it_covered():
    history = OwnerHistory("p1")
    key = key_owned_by("p2", {"p1", "p2"}, "p1")
    history.observe({"p1"}, WALL)
    history.observe({"p1", "p2"}, WALL + 10)
    assert history.owned_since(key, successor="p2") == WALL
    assert history.owned_since(key, successor="p3") is None


def test_a_new_process_asks_the_one_that_owned_its_keys_before():
    history = OwnerHistory("p1")
    key = key_owned_by("p1", {"p1", "p2", "p3"}, "p3")
    history.observe({"p1", "p2", "p3"}, WALL)
    assert history.previous_owner(key) == "p3"
    assert history.next_owner(key) == "p3"


def test_the_margin_covers_the_allowed_skew():
    """Guards against a key that ran at the old owner and passes at the new one."""
    assert OWNERSHIP_MARGIN_S > MAX_SKEW_S
