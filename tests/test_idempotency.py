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

NOW_S = 1_800_000_000.0
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
    """Guards against a second run if a key is sent in upper case or without hyphens."""
    text = make_key(NOW_S, 0xABCDEF)
    spellings = [text, text.upper(), text.replace("-", ""), f"{{{text}}}"]
    assert len({parse_key(spelling).text for spelling in spellings}) == 1
    assert parse_key(text).stamp == NOW_S


def test_a_key_from_the_future_is_refused():
    """Guards against a wrong clock whose stamps pass the check after a takeover."""
    check_skew(parse_key(make_key(NOW_S + MAX_SKEW_S - 1)), NOW_S)
    with pytest.raises(BadRequest) as caught:
        check_skew(parse_key(make_key(NOW_S + MAX_SKEW_S + 1)), NOW_S)
    assert caught.value.code == Code.BAD_KEY


def test_a_duplicate_gets_the_outcome_of_the_first():
    table = KeyTable()
    entry, new = table.begin(SCOPE, b"d", NOW_S, NOW_S)
    again, second = table.begin(SCOPE, b"d", NOW_S, NOW_S)
    assert (new, second, again) == (True, False, entry)
    table.finish(entry, "answer", 6)
    late, third = table.begin(SCOPE, b"d", NOW_S, NOW_S + RETENTION_S - 1)
    assert (third, late.outcome) == (False, "answer")


def test_a_key_with_another_body_is_refused():
    table = KeyTable()
    table.begin(SCOPE, b"one", NOW_S, NOW_S)
    with pytest.raises(BadRequest) as caught:
        table.begin(SCOPE, b"two", NOW_S, NOW_S)
    assert caught.value.code == Code.KEY_REUSED


def test_a_key_that_did_not_run_may_run_later():
    table = KeyTable()
    entry, _ = table.begin(SCOPE, b"d", NOW_S, NOW_S)
    table.forget(entry)
    assert table.begin(SCOPE, b"d", NOW_S, NOW_S)[1]


def assert_ambiguous(table, scope, stamp, wall):
    """Check that a key is refused as ambiguous and not run."""
    with pytest.raises(OutcomeUnknown) as caught:
        table.begin(scope, b"d", stamp, wall)
    assert caught.value.code == Code.KEY_AMBIGUOUS


@pytest.mark.parametrize("finished", [True, False])
def test_a_key_past_the_retention_is_never_run_again(finished):
    """Guards against a second run once the outcome was dropped."""
    table = KeyTable()
    entry, _ = table.begin(SCOPE, b"d", NOW_S, NOW_S)
    if finished:
        table.finish(entry, "answer", 6)
    assert_ambiguous(table, SCOPE, NOW_S, NOW_S + RETENTION_S + 1)
    assert len(table) == 0


def test_memory_is_bounded_and_dropped_keys_are_not_run_again():
    table = KeyTable(max_entries=10, max_bytes=50)
    for number in range(100):
        scope = ("e", "m", str(number))
        entry, _ = table.begin(scope, b"d", NOW_S + number, NOW_S + number)
        table.finish(entry, "answer", 10)
    assert len(table) <= 11
    assert_ambiguous(table, ("e", "m", "0"), NOW_S, NOW_S + 100)
    assert_ambiguous(table, ("e", "m", "93"), NOW_S + 93, NOW_S + 100)
    kept, _ = table.begin(("e", "m", "99"), b"d", NOW_S + 99, NOW_S + 100)
    assert kept.outcome == "answer"


def test_forgotten_keys_do_not_accumulate():
    table = KeyTable(max_entries=10)
    for number in range(1000):
        entry, _ = table.begin(("e", "m", str(number)), b"d", NOW_S, NOW_S)
        table.forget(entry)
    assert len(table._by_stamp) <= 21


def test_a_fenced_key_is_never_run_by_its_former_owner():
    """Guards against a run at the former owner after a run at the new owner."""
    table = KeyTable()
    assert table.fence(SCOPE, NOW_S, NOW_S, "start-1").fenced_for == "start-1"
    assert table.fence(SCOPE, NOW_S, NOW_S, "start-2").fenced_for == "start-1"
    assert_ambiguous(table, SCOPE, NOW_S, NOW_S)


def test_a_key_below_the_watermark_is_not_fenced_for_a_new_owner():
    """Guards against "unknown key" for a key whose outcome was dropped."""
    table = KeyTable()
    entry = table.fence(SCOPE, NOW_S, NOW_S + RETENTION_S, "start-1")
    assert entry.fenced_for == ""


def key_owned_by(owner, processes, successor):
    """Return a key of ``owner`` that ``successor`` owns when ``owner`` has left."""
    for number in range(1000):
        key = make_key(NOW_S, number)
        rest = set(processes) - {owner}
        if owner_of(key, processes) == owner and owner_of(key, rest) == successor:
            return key
    raise AssertionError("no key with this owner and successor among 1000 keys")


def test_only_the_keys_of_a_process_that_left_change_owner():
    """Guards against a restart that changes the owner of all keys."""
    processes = {"p1", "p2", "p3"}
    keys = [make_key(NOW_S, number) for number in range(300)]
    for key in keys:
        if owner_of(key, processes) != "p3":
            assert owner_of(key, processes - {"p3"}) == owner_of(key, processes)


def test_ownership_starts_at_the_last_takeover():
    history = OwnerHistory("p1")
    key = key_owned_by("p2", {"p1", "p2"}, "p1")
    history.observe({"p1", "p2"}, NOW_S)
    assert history.owned_since(key) is None
    history.observe({"p1"}, NOW_S + 10)
    assert history.owned_since(key) == NOW_S + 10
    assert history.previous_owner(key) == "p2"
    history.observe({"p1", "p2"}, NOW_S + 20)
    history.observe({"p1"}, NOW_S + 30)
    assert history.owned_since(key) == NOW_S + 30


def test_a_former_owner_knows_since_when_it_owned_a_key():
    history = OwnerHistory("p1")
    key = key_owned_by("p2", {"p1", "p2"}, "p1")
    history.observe({"p1"}, NOW_S)
    history.observe({"p1", "p2"}, NOW_S + 10)
    assert history.owned_since(key, successor="p2") == NOW_S
    assert history.owned_since(key, successor="p3") is None


def test_a_process_knows_until_when_a_third_one_owned_a_key():
    history = OwnerHistory("p1")
    key = key_owned_by("p2", {"p1", "p2", "p3"}, "p1")
    history.observe({"p1", "p2", "p3"}, NOW_S)
    assert history.others_until(key, "p2", NOW_S + 5) is None
    assert history.others_until(key, "p3", NOW_S + 5) == NOW_S + 5
    history.observe({"p1"}, NOW_S + 10)
    assert history.others_until(key, "p3", NOW_S + 20) == NOW_S + 10
    assert history.others_until(key, "p2", NOW_S + 20) is None


def test_a_process_knows_until_when_another_one_was_live():
    history = OwnerHistory("p1")
    history.observe({"p1"}, NOW_S)
    assert history.others_live_until(NOW_S + 5) is None
    history.observe({"p1", "p2"}, NOW_S + 10)
    assert history.others_live_until(NOW_S + 15) == NOW_S + 15
    history.observe({"p1"}, NOW_S + 20)
    assert history.others_live_until(NOW_S + 25) == NOW_S + 20


def test_a_new_process_knows_the_previous_owner_of_its_keys():
    history = OwnerHistory("p1")
    key = key_owned_by("p1", {"p1", "p2", "p3"}, "p3")
    history.observe({"p1", "p2", "p3"}, NOW_S)
    assert history.previous_owner(key) == "p3"
    assert history.next_owner(key) == "p3"


def test_the_ownership_margin_exceeds_the_allowed_skew():
    """Guards against a key that ran at the old owner and runs again at the new one."""
    assert OWNERSHIP_MARGIN_S > MAX_SKEW_S
