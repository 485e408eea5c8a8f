"""Errors that the etcd adapter raises for faults of the store."""

import asyncio
import json
import signal
import subprocess
import sys
from contextlib import asynccontextmanager

import grpc
import pytest
import tornado.httpclient
import tornado.httpserver
import tornado.testing

from flamingoway.errors import StoreOutcomeUnknown, StoreUnavailable
from flamingoway.store import Compare, LeaseExpired, Put
from flamingoway.store.etcd import EtcdStore
from standins.etcd_server import EtcdServer, Limits
from standins.faults import RateLimit
from standins.store import control_app

# Longer than any test, so that a slow call never ends before its time-out.
ENDLESS_S = 3600.0


class Clock:
    """Clock that stands still unless a test moves it."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@asynccontextmanager
async def served(server, timeout_s=1.0):
    async with server.listen() as port:
        store = EtcdStore(f"127.0.0.1:{port}", timeout_s)
        try:
            await until(store.get, "none")
            yield store
        finally:
            await store.close()


async def until(call, *arguments):
    """Repeat a call until the store is reached."""
    while True:
        try:
            return await call(*arguments)
        except StoreUnavailable:
            await asyncio.sleep(0.01)


async def require_call(server, kind):
    if not server.counts.calls[kind]:
        raise StoreUnavailable("not called yet")


async def require_key(store, key):
    if await store.get(key) is None:
        raise StoreUnavailable("not written yet")


def run(body):
    asyncio.run(asyncio.wait_for(body(), 30))


def set_faults(**faults):
    def arrange(server):
        for name, value in faults.items():
            setattr(server.faults, name, value)

    return arrange


def exhaust_writes(server):
    while server._writes.admit():
        pass


def exhaust_reads(server):
    while server._reads.admit():
        pass


READ_FAULTS = {
    "down": set_faults(down=True),
    "slow": set_faults(slow_s=ENDLESS_S),
    "reads used up": exhaust_reads,
}
# What a write raises, and whether it takes effect (None: either).
WRITE_FAULTS = {
    "down": (set_faults(down=True), StoreUnavailable, False),
    "slow": (set_faults(slow_s=ENDLESS_S), StoreOutcomeUnknown, None),
    "writes used up": (exhaust_writes, StoreUnavailable, False),
    "lost": (set_faults(drop=1), StoreOutcomeUnknown, True),
    "hang": (set_faults(drop=1, drop_mode="hang"), StoreOutcomeUnknown, True),
}


@pytest.mark.parametrize("fault", READ_FAULTS)
def test_a_read_without_an_answer_is_reported_as_unavailable(fault):
    """Guards against a read that is reported as an unknown outcome."""

    async def body():
        server = EtcdServer(clock=Clock())
        async with served(server) as store:
            READ_FAULTS[fault](server)
            for read in (store.get("k"), store.range("k")):
                with pytest.raises(StoreUnavailable):
                    await read

    run(body)


@pytest.mark.parametrize("fault", WRITE_FAULTS)
def test_a_write_without_effect_is_distinguished_from_an_unknown_one(fault):
    """Guards against "not run" for a write that took effect, and the reverse."""
    arrange, error, applied = WRITE_FAULTS[fault]

    async def body():
        server = EtcdServer(clock=Clock())
        async with served(server) as store:
            arrange(server)
            with pytest.raises(error) as caught:
                await store.txn([], [Put("k", b"v")])
            assert type(caught.value) is error
            server.faults.down, server.faults.slow_s = False, 0.0
            if applied is not None:
                assert (await store.get("k") is not None) == applied

    run(body)


@pytest.mark.parametrize("fault", WRITE_FAULTS)
@pytest.mark.parametrize("method", ["grant_lease", "keep_alive", "revoke_lease"])
def test_lease_calls_report_faults_like_writes(method, fault):
    """Guards against a renewal that hangs or fails for good after a fault."""
    arrange, error, _ = WRITE_FAULTS[fault]

    async def body():
        clock = Clock()
        server = EtcdServer(clock=clock)
        async with served(server) as store:
            lease = await store.grant_lease(60)
            assert await store.keep_alive(lease) == 60
            arrange(server)
            with pytest.raises(error):
                await getattr(store, method)(60 if method == "grant_lease" else lease)
            server.faults.down, server.faults.slow_s = False, 0.0
            clock.now += 2
            lease = await store.grant_lease(60)
            assert await store.keep_alive(lease) == 60

    run(body)


def test_a_slow_write_takes_effect_after_its_caller_gave_up():
    """Guards against a stand-in that drops late writes, which the service applies."""

    async def body():
        server = EtcdServer()
        async with served(server) as store:
            server.faults.slow_s = 0.2
            write = asyncio.create_task(store.txn([], [Put("k", b"v")]))
            await until(require_call, server, "txn")
            write.cancel()
            server.faults.slow_s = 0.0
            await until(require_key, store, "k")

    run(body)


def test_a_conditional_write_sent_again_settles_a_lost_answer():
    """Guards against a group commit that is applied twice."""

    async def body():
        server = EtcdServer()
        async with served(server) as store:
            server.faults.drop = 1
            conditional_write = (
                [Compare("log/1", "mod_revision", 0)],
                [Put("log/1", b"w1")],
            )
            with pytest.raises(StoreOutcomeUnknown):
                await store.txn(*conditional_write)
            result = await store.txn(*conditional_write, ["log/1"])
            assert not result.succeeded
            assert result.reads["log/1"].value == b"w1"

    run(body)


def test_a_closed_port_means_not_sent_and_the_client_reconnects():
    """Guards against a client that stays disconnected after the service restarts."""

    async def body():
        server = EtcdServer()
        async with server.listen() as port:
            store = EtcdStore(f"127.0.0.1:{port}", 1.0)
            lease = await until(store.grant_lease, 60)
            await store.keep_alive(lease)
        with pytest.raises(StoreUnavailable):
            await store.txn([], [Put("k", b"v")])
        with pytest.raises(StoreUnavailable):
            await store.get("k")
        with pytest.raises(StoreUnavailable):
            await store.keep_alive(lease)
        async with server.listen(port):
            assert await until(store.get, "k") is None
            assert await store.keep_alive(lease) == 60
            await store.close()

    run(body)


@pytest.mark.parametrize(
    ("details", "error"),
    [
        ("failed to connect to all addresses; last error: refused", StoreUnavailable),
        ("Socket closed", StoreOutcomeUnknown),
        (None, StoreOutcomeUnknown),
    ],
)
def test_a_write_that_found_no_connection_was_not_sent(details, error):
    """Guards against an unknown outcome for a connection lost before the call.

    The channel may still count as ready while the server's GOAWAY is on its way.
    """

    async def body():
        store = EtcdStore("127.0.0.1:1")
        store._connect = _connected

        async def txn(request, timeout, metadata):
            no_metadata = grpc.aio.Metadata()
            raise grpc.aio.AioRpcError(
                grpc.StatusCode.UNAVAILABLE, no_metadata, no_metadata, details
            )

        store._kv.Txn = txn
        with pytest.raises(error):
            await store.txn([], [Put("k", b"v")])
        await store.close()

    run(body)


async def _connected():
    return None


@pytest.mark.parametrize("fault", ["broken", "closed port"])
def test_a_broken_watch_ends_and_a_new_one_misses_nothing(fault):
    """Guards against changes lost while a watch was broken."""

    async def body():
        server = EtcdServer()
        async with server.listen() as port:
            store = EtcdStore(f"127.0.0.1:{port}", 1.0)
            start = (await until(store.range, "p/")).revision + 1
            await store.txn([], [Put("p/1", b"")])
            watch = store.watch("p/", start)
            assert [e.key for e in (await anext(watch)).events] == ["p/1"]
            assert server.counts.open_watches == server.counts.calls["watch"] == 1
            if fault == "broken":
                server.break_watches()
                with pytest.raises(StoreUnavailable):
                    await anext(watch)
        if fault != "broken":
            with pytest.raises(StoreUnavailable):
                await anext(watch)
        async with server.listen(port):
            await until(store.get, "none")
            await store.txn([], [Put("p/2", b"")])
            second_watch = store.watch("p/", start)
            keys = [e.key for _ in range(2) for e in (await anext(second_watch)).events]
            assert keys == ["p/1", "p/2"]
            await second_watch.aclose()
            await store.close()

    run(body)


def test_a_watch_from_compacted_history_is_refused():
    """Guards against a watch that silently skips changes."""

    async def body():
        server = EtcdServer()
        async with served(server) as store:
            for _ in range(3):
                await store.txn([], [Put("p/1", b"")])
            server.engine.compact()
            with pytest.raises(StoreUnavailable):
                await anext(store.watch("p/", 2))

    run(body)


def test_an_expired_lease_is_distinguished_from_an_outage():
    """Guards against a process that keeps writing after its lease has expired."""

    async def body():
        clock = Clock()
        server = EtcdServer(clock=clock)
        async with served(server) as store:
            lease = await store.grant_lease(4)
            clock.now += 5
            with pytest.raises(LeaseExpired):
                await store.txn([], [Put("k", b"", lease)])
            assert await store.keep_alive(lease) == 0
            await store.revoke_lease(lease)

    run(body)


def test_calls_after_close_are_refused():
    async def body():
        async with served(EtcdServer()) as store:
            await store.close()
            for call in (store.get("k"), store.keep_alive(1)):
                with pytest.raises(StoreUnavailable):
                    await call

    run(body)


def test_rate_limit_counts_any_window_of_a_second():
    """Guards against bursts of twice the limit across the boundary of a second."""
    clock = Clock()
    limit = RateLimit(2, clock)
    admitted = []
    for now in (0.0, 0.9, 0.95, 1.0, 1.85, 1.95):
        clock.now = now
        admitted.append(limit.admit())
    assert admitted == [True, True, False, True, False, True]


def test_refused_calls_do_not_count_towards_the_limits():
    async def body():
        server = EtcdServer(Limits(writes=2, reads=3), clock=Clock())
        async with served(server) as store:
            for _ in range(5):
                try:
                    await store.grant_lease(60)
                except StoreUnavailable:
                    pass
            counts = server.counts.to_json()
            assert counts["calls"]["lease_grant"] == 5
            assert counts["limited"] == {"write": 3}
            assert server.limits.writes == len(server.engine.lease_ids)

    run(body)


def test_control_port_sets_faults_and_reads_counts():
    async def body():
        server = EtcdServer()
        http = tornado.httpserver.HTTPServer(control_app(server))
        socket, port = tornado.testing.bind_unused_port()
        http.add_socket(socket)
        client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        url = f"http://127.0.0.1:{port}"

        async def post(body):
            answer = await client.fetch(
                f"{url}/faults", method="POST", body=body, raise_error=False
            )
            return answer.code

        assert await post('{"slow_s": 0.5, "drop": 3, "drop_mode": "hang"}') == 200
        for wrong in ("{", "[1]", '{"down": 1}', '{"x": 1}', '{"drop_mode": "x"}'):
            assert await post(wrong) == 400
        assert (server.faults.slow_s, server.faults.drop) == (0.5, 3)
        assert not server.faults.down
        assert await post('{"down": true}') == 200
        assert server.faults.down
        answer = await client.fetch(f"{url}/counts")
        assert json.loads(answer.body)["total"] == 0
        http.stop()
        client.close()

    run(body)


def test_the_command_serves_until_sigterm():
    command = [sys.executable, "-m", "standins.store", "--port", "0"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        address = process.stdout.readline().split()[-1]

        async def body():
            store = EtcdStore(address, 5.0)
            await until(store.txn, [], [Put("k", b"v")])
            assert (await store.get("k")).value == b"v"
            await store.close()

        run(body)
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
