"""Each fault of the soak test at site size does what it says."""

import asyncio
import os
import random
import struct
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest

from standins import kv
from standins.proxy import Proxy
from tests import site_faults, site_soak
from tests.site_links import Links
from tests.site_workers import Http

SLEEP = asyncio.sleep
SHIM = Path(__file__).parent / "clock_shim"
FAULTS = ["silent_channels", "cut_peers", "slow_one", "slow_leader", "slow_some"]
FAULTS += ["slow_all", "pause_many", "step_clocks", "flap_beside_takeover"]
FAULTS += ["restart_store"]
NAMES = [f"e{index:03}" for index in range(6)]


class FakeEntry:
    """An entry whose signals, clock and store connections are recorded."""

    def __init__(self, name, calls):
        self.name, self.calls = name, calls
        self.server = self

    def __getattr__(self, action):
        return lambda *values: self.calls.append((self.name, action, *values))

    async def restart(self, number, pause_s=0.0):
        self.calls.append((self.name, "restart", number))


class FakeSite(site_soak.Site):
    """A site without processes, whose time passes at once."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.calls, self.rows, self.tasks = [], [], set()
        self.entries = [FakeEntry(name, self.calls) for name in NAMES]
        self.store = site_soak.SiteStore(self.rng)
        self.record = SimpleNamespace(write=self.note)
        self.listed = {"w1": {}, "w2": {}}

    def note(self, event, **fields):
        self.rows.append((event, fields))

    def leader(self):
        return self.entries[0]

    def order(self, action, ids, value=None):
        self.calls.append(("workers", action, list(ids)))

    def order_links(self, action, **fields):
        self.calls.append(("links", action, fields))

    async def cancel_promptly(self):
        self.calls.append(("callers", "cancel"))


def play(name, seed, monkeypatch, factor=200):
    """Play a fault with its waits shortened by a factor; returns the site."""
    site = FakeSite(seed)
    monkeypatch.setattr(asyncio, "sleep", lambda seconds: SLEEP(seconds / factor))
    asyncio.run(site_faults.FAULTS[name](site))
    return site


def disturbed(site):
    """Return the machines of the faults that excuse a case."""
    rows = [fields for event, fields in site.rows if event == "fault"]
    return {name for row in rows if not row["benign"] for name in row["on"]}


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_undoes_what_it_did(name, monkeypatch):
    """Guards against faults that outlast their record in the play."""
    for seed in range(8):
        site = play(name, seed, monkeypatch)
        modes = [mode for mode in site.store.modes.values() if mode]
        assert (modes, site.store.busy) == ([], 1.0)
        for entry in NAMES:
            calls = [call[1:] for call in site.calls if call[0] == entry]
            signals = [call[1] for call in calls if call[0] == "send"]
            assert signals[-1:] in ([], [site_faults.signal.SIGCONT])
            offsets = [call[1] for call in calls if call[0] == "set_clock"]
            assert offsets[-1:] in ([], [0.0])
        cuts = [call[2] for call in site.calls if call[:2] == ("links", "cut")]
        assert not cuts or not (cuts[-1]["outward"] or cuts[-1]["inward"])
        events = [event for event, _ in site.rows]
        assert events.count("fault") == events.count("fault begins") > 0


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_excuses_only_the_machines_it_acts_on(name, monkeypatch):
    """Guards against faults that excuse more than the rules do."""
    for seed in range(8):
        site = play(name, seed, monkeypatch)
        touched = {call[0] for call in site.calls} & set(NAMES)
        for _, action, *values in (c for c in site.calls if c[0] == "links"):
            touched |= set(values[0]["names"]) if action else set()
        touched |= set(NAMES) if name == "silent_channels" else set()
        dropped = {call[0] for call in site.calls if call[1:2] == ("drop",)}
        core = {"core"} if dropped == set(NAMES) else set()
        assert disturbed(site) <= touched | core


def test_a_slow_process_is_stopped_and_continued_in_turns(monkeypatch):
    """Guards against slow processes that run all the time or not at all."""
    site = play("slow_leader", 1, monkeypatch, factor=20)
    signals = [number for name, _, number in site.calls if name == NAMES[0]]
    stop, resume = site_faults.signal.SIGSTOP, site_faults.signal.SIGCONT
    assert len(signals) > 10
    assert signals[:-1:2] == [stop] * len(signals[:-1:2])
    assert signals[1:-1:2] == [resume] * len(signals[1:-1:2])


def test_a_clock_that_is_off_is_excused_at_its_steps_only(monkeypatch):
    """Guards against a shifted clock that excuses all that happens meanwhile."""
    site = play("step_clocks", 3, monkeypatch)
    steps = [fields for event, fields in site.rows if event == "fault"]
    offsets = [c[2] for c in site.calls if c[:2] == (site.calls[0][0], "set_clock")]
    assert len(steps) == len(offsets) >= 2
    assert any(abs(offset) >= 1 for offset in offsets)


def test_the_time_of_day_of_a_process_follows_the_file(tmp_path):
    """Guards against clock steps that a process does not see."""
    clock = tmp_path / "clock"
    clock.write_bytes(struct.pack("d", 0.0))
    code = (
        "import time\nfor _ in range(3):\n"
        "    print(time.time(), time.monotonic(), flush=True)\n    input()\n"
    )
    environment = {"SITE_CLOCK": str(clock), "PYTHONPATH": str(SHIM)}
    with subprocess.Popen(
        [sys.executable, "-c", code],
        env=os.environ | environment,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        rows = []
        for offset in (30.0, -30.0, 0.0):
            rows.append([float(text) for text in process.stdout.readline().split()])
            with clock.open("r+b") as file:
                file.write(struct.pack("d", offset))
            process.stdin.write("\n")
            process.stdin.flush()
    shifts = [wall - steady - rows[0][0] + rows[0][1] for wall, steady in rows]
    assert shifts == pytest.approx([0, 30, -30], abs=0.01)


async def exchange(stream, text, timeout_s=5.0):
    """Send a line; returns the reply, or ``None`` if there is none."""
    reader, writer = stream
    writer.write(text + b"\n")
    try:
        async with asyncio.timeout(timeout_s):
            return await reader.readline()
    except TimeoutError:
        return None


async def echo(reader, writer):
    while line := await reader.readline():
        writer.write(line)
    writer.close()


def run_with_echo(body):
    async def main():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        async with server:
            await body(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")

    asyncio.run(main())


def connect(address):
    return asyncio.open_connection(*address.split(":"))


def test_silenced_connections_stay_silent_and_new_ones_work():
    """Guards against a silence that ends, or that hits new connections."""

    async def body(address):
        proxy = Proxy(address)
        async with proxy.listen() as here:
            old = await connect(here)
            assert await exchange(old, b"a") == b"a\n"
            proxy.silence()
            assert await exchange(old, b"b", 0.3) is None
            assert await exchange(await connect(here), b"c") == b"c\n"
            assert await exchange(old, b"d", 0.3) is None

    run_with_echo(body)


@pytest.mark.parametrize("ways", [(True, False), (False, True), (True, True)])
def test_held_bytes_arrive_after_a_partition(ways):
    """Guards against a cut that loses the bytes or lets new connections through."""

    async def body(address):
        proxy = Proxy(address)
        async with proxy.listen() as here:
            old = await connect(here)
            assert await exchange(old, b"a") == b"a\n"
            proxy.hold(*ways)
            assert await exchange(old, b"b", 0.3) is None
            assert await exchange(await connect(here), b"c", 0.3) is None
            proxy.hold()
            assert await old[0].readline() == b"b\n"

    run_with_echo(body)


def test_a_cut_holds_the_calls_between_the_groups_only(monkeypatch):
    """Guards against cuts of the wrong pairs or directions."""
    held = {}
    links = Links(None)
    for pair in [("a", "b"), ("b", "a"), ("a", "c"), ("b", "c"), ("c", "a")]:
        proxy = SimpleNamespace(hold=lambda *ways, pair=pair: held.update({pair: ways}))
        links.proxies[pair] = proxy
    links.cut({"a"}, outward=True, inward=False)
    outward, inward = (True, False), (False, True)
    assert held.pop(("a", "b")) == held.pop(("a", "c")) == outward
    assert held.pop(("b", "a")) == held.pop(("c", "a")) == inward
    assert held == {}


async def post(stream, timeout_s=5.0):
    reader, writer = stream
    writer.write(b"POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
    try:
        async with asyncio.timeout(timeout_s):
            return b"200" in await reader.readline()
    except (TimeoutError, ConnectionResetError) as exc:
        return type(exc)


@pytest.mark.parametrize(
    "action, answer",
    [("silence", TimeoutError), ("reset", ConnectionResetError), ("close", False)],
)
def test_open_connections_of_a_server_break_and_new_ones_work(action, answer):
    """Guards against resets that callers see as an orderly end, or the reverse."""

    async def main():
        server = Http(lambda *call: asyncio.sleep(0, (200, {})))
        address = await server.listen()
        old = await connect(address)
        assert await post(old) is True
        await old[0].readuntil(b"\r\n\r\n{}")
        pending = asyncio.create_task(post(old, 0.3)) if action == "silence" else None
        if action == "silence":
            server.silence()
        else:
            server.drop(reset=action == "reset")
            await asyncio.sleep(0.05)
            pending = asyncio.create_task(post_or_read(old))
        assert await pending == answer
        assert await post(await connect(address)) is True

    asyncio.run(main())


async def post_or_read(stream):
    try:
        return bool(await stream[0].readline())
    except ConnectionResetError as exc:
        return type(exc)


def test_a_write_under_way_at_a_restart_is_never_answered(monkeypatch):
    """Guards against a restart after which each write is known to be applied or not."""
    put = {"puts": [{"key": "fw/x", "value": "", "lease": 0}], "expectedRev": []}

    async def main(seed):
        store = site_soak.SiteStore(random.Random(seed))
        data = msgspec.json.encode(put)
        write = asyncio.create_task(store.answer("e", "POST", "/kv-txn", {}, data))
        read = asyncio.create_task(
            store.answer("e", "GET", "/kv-range?prefix=fw%2F", {}, b"")
        )
        await SLEEP(0)
        store.restarts += 1
        began = asyncio.get_running_loop().time()
        monkeypatch.setattr(asyncio, "sleep", lambda seconds: SLEEP(seconds / 60))
        assert await asyncio.gather(write, read) == [None, None]
        monkeypatch.setattr(asyncio, "sleep", SLEEP)
        late = asyncio.get_running_loop().time() - began > 0.015
        return bool(store.engine.range(kv.RangeOp(b"fw/x")).entries), late

    fates = {asyncio.run(main(seed)) for seed in range(12)}
    assert {applied for applied, _ in fates} == {True, False}
    assert (True, True) in fates


def test_processes_see_each_other_behind_the_proxies():
    """Guards against calls between processes that bypass the proxies."""

    async def main():
        store = site_soak.SiteStore(random.Random(1))
        for name in ("a", "b"):
            record = {"name": name, "peer_address": f"{name}:1", "zone": "z"}
            store.put(f"fw/member/{name}", msgspec.msgpack.encode(record))
        store.links["a", "b"] = "proxy:1"
        found = {}
        for target in ("/kv-range?prefix=fw%2F", "/kv-watch?prefix=fw%2F&after=0"):
            answer = await store.answer("a", "GET", target, {}, b"")
            body = msgspec.json.decode(answer[1])
            for item in body.get("items") or body["events"]:
                value = msgspec.convert(item["value"], bytes, strict=False)
                record = msgspec.msgpack.decode(value)
                found.setdefault(target, []).append(record["peer_address"])
        assert list(found.values()) == [["a:1", "proxy:1"]] * 2

    asyncio.run(main())


def test_overlapping_faults_of_the_store_end(monkeypatch):
    """Guards against a store that goes on losing answers after its faults."""
    monkeypatch.setattr(asyncio, "sleep", lambda seconds: SLEEP(seconds / 200))

    async def main():
        site = FakeSite(1)
        lose_answers = site_soak.FAULTS["lose_answers"]
        first = asyncio.create_task(lose_answers(site))
        await asyncio.sleep(2)
        await asyncio.gather(first, lose_answers(site))
        return site.store.lost

    assert asyncio.run(main()) == 0.0


def test_a_share_of_the_processes_runs_the_build_beside(tmp_path):
    """Guards against plays of two builds that start one build only."""
    options = SimpleNamespace(code=Path("this"), beside=Path("other"))
    site = SimpleNamespace(folder=tmp_path, advice_url="", options=options)
    entries = [site_soak.SiteEntry(site, index) for index in range(36)]
    other = [entry for entry in entries if entry.code == options.beside]
    cores = {entry.settings["limits"]["cores"] for entry in other}
    assert (len(other), cores) == (11, {1, 3})
    options.beside = None
    assert site_soak.SiteEntry(site, 0).code == options.code


def test_a_process_that_ends_before_it_is_ready_ends_the_play():
    """Guards against plays that wait for a process that cannot start."""
    process = SimpleNamespace(returncode=1)
    entry = SimpleNamespace(name="e000", ready=1, process=process)
    with pytest.raises(RuntimeError, match="e000"):
        asyncio.run(asyncio.wait_for(FakeSite(1).wait_ready(entry), 5))
