"""Calls between entry processes: replies, errors and unknown outcomes."""

import asyncio
import socket

import grpc
import msgspec
import pytest

from flamingoway.errors import FlamingowayError, OutcomeUnknown, Refused
from flamingoway.messages import Depose, DeposeReply, GetStatus, StatusReply
from flamingoway.peer import SERVICE, PeerClient, PeerServer
from flamingoway.status import Code
from standins.proxy import Proxy


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


DEPOSE = Depose("s", 3)


async def exchange(handler, timeout_s: float = 5.0, request=DEPOSE):
    """Serve ``handler`` for Depose and call it once."""
    server, client, address = PeerServer(), PeerClient(), free_address()
    server.handle(Depose, handler)
    try:
        async with server.listen(address, grace_s=0.1):
            return await client.call(address, request, timeout_s, request.reply)
    finally:
        await client.close()


def test_reply_keeps_its_type_and_values():
    async def handler(request: Depose) -> DeposeReply:
        return DeposeReply(incarnation=f"{request.shard}-{request.epoch}", dropped=True)

    assert asyncio.run(exchange(handler)) == DeposeReply("s-3", True)


@pytest.mark.parametrize(
    "raised, kind",
    [
        (Refused("full", Code.MEMBER_LIMIT, retry_after=2.0), Refused),
        (OutcomeUnknown("cut", Code.ANSWER_CUT), OutcomeUnknown),
        (FlamingowayError("no", Code.NOT_FOUND), FlamingowayError),
    ],
)
def test_errors_cross_processes_with_code_and_details(raised, kind):
    async def handler(_request: Depose) -> DeposeReply:
        raise raised

    with pytest.raises(kind) as caught:
        asyncio.run(exchange(handler))
    assert caught.value.code == raised.code
    assert caught.value.details == raised.details


def test_an_exception_of_the_handler_is_an_unknown_outcome():
    async def handler(_request: Depose) -> DeposeReply:
        raise ZeroDivisionError

    with pytest.raises(FlamingowayError) as caught:
        asyncio.run(exchange(handler))
    assert caught.value.code.ran == "unknown"


def test_a_missing_answer_is_an_unknown_outcome():
    async def handler(_request: Depose) -> DeposeReply:
        await asyncio.sleep(60)
        return DeposeReply("late", False)

    with pytest.raises(OutcomeUnknown):
        asyncio.run(exchange(handler, timeout_s=0.2))


def test_a_request_without_a_handler_is_refused():
    async def handler(_request: Depose) -> DeposeReply:
        return DeposeReply("", True)

    with pytest.raises(Refused) as caught:
        asyncio.run(exchange(handler, request=GetStatus()))
    assert caught.value.code == Code.OWNER_UNAVAILABLE
    assert GetStatus.reply is StatusReply


def test_an_unreachable_peer_is_refused_as_not_sent():
    async def call() -> None:
        client = PeerClient()
        try:
            await client.call(free_address(), Depose("s", 1), 0.5, DeposeReply)
        finally:
            await client.close()

    with pytest.raises(Refused) as caught:
        asyncio.run(call())
    assert caught.value.code == Code.OWNER_UNAVAILABLE


def test_undecodable_bytes_are_answered_with_an_error_code():
    async def call() -> bytes:
        server, address = PeerServer(), free_address()

        async def handler(_request: Depose) -> DeposeReply:
            raise AssertionError("must not be called")

        server.handle(Depose, handler)
        async with (
            server.listen(address, grace_s=0.1),
            grpc.aio.insecure_channel(address) as channel,
        ):
            method = channel.unary_unary(f"/{SERVICE}/Depose")
            return await method(b"\xc1garbage")

    answer = asyncio.run(call())
    error = msgspec.msgpack.decode(answer)["error"]
    assert error["code"] == Code.BAD_REQUEST


def test_a_restarted_peer_is_reached_after_unanswered_connections():
    """Guards against a pending connection attempt that delays calls by 20 s.

    That is the default timeout of gRPC for one attempt; until then, the calls to a
    restarted peer fail.
    """

    async def attempt(client: PeerClient, address: str) -> str:
        try:
            reply = await client.call(address, DEPOSE, 1.0, DeposeReply)
        except Refused:
            return ""
        return reply.incarnation

    async def run() -> str:
        async def handler(_request: Depose) -> DeposeReply:
            return DeposeReply("back", True)

        client, server, address = PeerClient(), PeerServer(), free_address()
        server.handle(Depose, handler)
        host, port = address.split(":")
        with socket.socket() as silent:
            silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            silent.bind((host, int(port)))
            silent.listen()
            assert await attempt(client, address) == ""
            accepted, _ = silent.accept()
        async with server.listen(address, grace_s=0.1):
            answers = [await attempt(client, address) for _ in range(5)]
        accepted.close()
        await client.close()
        return answers[-1]

    assert asyncio.run(run()) == "back"


def test_a_call_whose_channel_is_closed_meanwhile_has_an_unknown_outcome():
    """Guards against a pending call that ends as if its task had been cancelled."""

    async def body():
        called = asyncio.Event()

        async def handler(_request: Depose) -> DeposeReply:
            called.set()
            await asyncio.sleep(60)

        server, client, address = PeerServer(), PeerClient(), free_address()
        server.handle(Depose, handler)
        async with server.listen(address, grace_s=0.1):
            call = asyncio.create_task(client.call(address, DEPOSE, 5.0, DeposeReply))
            await called.wait()
            await client.close_channel(address)
            with pytest.raises(OutcomeUnknown):
                await call

    asyncio.run(asyncio.wait_for(body(), 20))


def test_a_call_on_a_closed_channel_was_not_handled():
    """Guards against an exception of the gRPC library that no caller handles."""

    async def body():
        client, address = PeerClient(), free_address()
        server = PeerServer()
        async with server.listen(address, grace_s=0.1):
            with pytest.raises(FlamingowayError):
                await client.call(address, DEPOSE, 1.0, DeposeReply)
            await client._channels[address].close()
            with pytest.raises(Refused):
                await client.call(address, DEPOSE, 1.0, DeposeReply)
            await client.close()

    asyncio.run(asyncio.wait_for(body(), 20))


@pytest.mark.parametrize("longest_s", [0.5, 3.0])
def test_a_peer_is_reached_again_after_its_connection_went_silent(longest_s):
    """Guards against calls that all time out on a connection that stays dead."""

    async def call(client, address, timeout_s=0.5):
        try:
            return await client.call(address, DEPOSE, timeout_s, DeposeReply)
        except OutcomeUnknown:
            return None

    async def main():
        server, client, address = PeerServer(), PeerClient(), free_address()
        server.handle(Depose, lambda request: asyncio.sleep(0, DeposeReply("x", True)))
        proxy = Proxy(address)
        async with server.listen(address, grace_s=0.1), proxy.listen() as here:
            assert await call(client, here)
            proxy.silence()
            pending = asyncio.create_task(call(client, here, longest_s))
            await call(client, here)
            answers = [await call(client, here) for _ in range(2)]
            await client.close()
            await pending
        assert all(answers)

    asyncio.run(main())


def test_a_slow_call_goes_on_when_another_one_timed_out():
    """Guards against a time-out that ends the other calls to the same peer."""

    async def main():
        server, client, address = PeerServer(), PeerClient(), free_address()

        async def handler(_request):
            await asyncio.sleep(0.6)
            return DeposeReply("x", True)

        server.handle(Depose, handler)
        async with server.listen(address, grace_s=0.1):
            slow = asyncio.create_task(client.call(address, DEPOSE, 5.0, DeposeReply))
            with pytest.raises(OutcomeUnknown):
                await client.call(address, DEPOSE, 0.2, DeposeReply)
            assert await slow == DeposeReply("x", True)
            await client.close()

    asyncio.run(main())


def test_a_long_call_goes_on_when_a_short_one_timed_out_long_before():
    """Guards against a forwarded check that ends before its deadline."""

    async def main():
        server, client, address = PeerServer(), PeerClient(), free_address()

        async def handler(_request):
            await asyncio.sleep(5.8)
            return DeposeReply("x", True)

        server.handle(Depose, handler)
        async with server.listen(address, grace_s=0.1):
            long = asyncio.create_task(client.call(address, DEPOSE, 9.0, DeposeReply))
            with pytest.raises(OutcomeUnknown):
                await client.call(address, DEPOSE, 0.2, DeposeReply)
            assert await long == DeposeReply("x", True)
            await client.close()

    asyncio.run(main())
