"""Guards against truncated or misdelivered answers and a false "not run"."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from request_path import (
    ENVIRONMENT,
    IP,
    Vm,
    call,
    check_request,
    entry,
    make_document,
    read_answer,
)

from flamingoway.status import Code
from standins.target import Target

CHECK_HEAD_START = f"POST /v1/{ENVIRONMENT}/checks/slot HTTP/1.1\r\nHost: e\r\n"
SMUGGLED = "POST /v1/hidden HTTP/1.1\r\nHost: e\r\n\r\n"


@asynccontextmanager
async def one_target(document=None, **limits):
    """Serve one target and one entry process."""
    async with (
        Target().serve() as target,
        entry([Vm("t1", IP, target.port)], document, **limits) as ingress,
    ):
        yield target, ingress


@pytest.mark.parametrize(
    ("fault", "code"),
    [
        ("late", Code.ANSWER_LATE),
        ("endless", Code.ANSWER_LATE),
        ("truncated", Code.ANSWER_CUT),
        ("truncated_head", Code.ANSWER_CUT),
        ("truncated_chunk", Code.ANSWER_CUT),
        ("oversized", Code.ANSWER_TOO_LARGE),
        ("oversized_chunks", Code.ANSWER_TOO_LARGE),
        ("oversized_head", Code.ANSWER_INVALID),
        ("malformed", Code.ANSWER_INVALID),
        ("malformed_length", Code.ANSWER_INVALID),
        ("two_lengths", Code.ANSWER_INVALID),
        ("length_and_chunks", Code.ANSWER_INVALID),
        ("no_length", Code.ANSWER_INVALID),
        ("other_answer", Code.ANSWER_INVALID),
        ("close", Code.OUTCOME_UNKNOWN),
        ("reset", Code.OUTCOME_UNKNOWN),
    ],
)
def test_a_faulty_answer_is_not_passed_on(fault, code):
    """Guards against a partial answer, a false "not run", and a retry."""

    async def scenario():
        async with one_target() as (target, ingress):
            body = {"service_ms": 0, "fault": fault}
            faulty = await call(ingress.port, check_request(body, X_Timeout_Ms="300"))
            runs = len(target.ran)
            whole = await call(ingress.port, check_request({"echo": "whole"}))
            return faulty, runs, whole

    (status, _, body), runs, whole = asyncio.run(scenario())
    answer = json.loads(body)
    assert (answer["code"], answer["ran"]) == (code, "unknown")
    assert status == code.http_status
    assert runs == 1
    assert json.loads(whole[2])["echo"] == "whole"


def test_a_second_answer_is_not_given_to_the_next_caller():
    """Guards against a surplus answer being taken as the answer to the next request."""

    async def scenario():
        async with one_target() as (_, ingress):
            body = {"service_ms": 0, "fault": "second_answer"}
            first = await call(ingress.port, check_request(body))
            return first, await call(ingress.port, check_request({"echo": 2}))

    first, second = asyncio.run(scenario())
    assert first[2] == b"first"
    assert json.loads(second[2])["echo"] == 2


def test_answers_out_of_order_reach_their_own_callers():
    async def scenario():
        async with one_target() as (_, ingress):
            requests = [
                check_request({"service_ms": 5 * (n * 7 % 8), "echo": n, "size": n})
                for n in range(8)
            ]
            calls = [call(ingress.port, request) for request in requests]
            return await asyncio.gather(*calls)

    answers = asyncio.run(scenario())
    assert [json.loads(body)["echo"] for _, _, body in answers] == list(range(8))


@pytest.mark.parametrize(
    ("prepare", "code"), [("leave", Code.TARGET_REFUSED), ("stop", Code.NO_TARGET)]
)
def test_a_request_that_did_not_run_is_reported_as_not_run(prepare, code):
    """Guards against "unknown" although the request certainly did not run."""

    async def scenario():
        async with Target().serve() as target:
            vms = [Vm("t1", IP, target.port)]
            target.leaving = prepare == "leave"
            if prepare == "leave":
                async with entry(vms) as ingress:
                    return await call(ingress.port, check_request()), target.ran
        async with entry(vms) as ingress:
            return await call(ingress.port, check_request()), target.ran

    (_, _, body), ran = asyncio.run(scenario())
    answer = json.loads(body)
    assert (answer["code"], answer["ran"], ran) == (code, "no", [])


def test_an_idle_connection_that_the_target_closed_is_not_used():
    """Guards against unknown outcomes after a target was restarted."""

    async def scenario():
        async with one_target() as (target, ingress):
            first = await call(ingress.port, check_request())
            await target.drop_connections()
            second = await call(ingress.port, check_request())
            return first[0], second[0], len(target.ran)

    assert asyncio.run(scenario()) == (200, 200, 2)


def test_a_caller_that_disconnects_does_not_affect_the_next_one():
    """Guards against a disconnected caller's answer reaching another caller."""

    async def scenario():
        async with one_target() as (target, ingress):
            _, writer = await asyncio.open_connection(IP, ingress.port)
            writer.write(check_request({"service_ms": 30, "echo": "left"}))
            await target.started.wait()
            writer.close()
            answer = await call(ingress.port, check_request({"echo": "stayed"}))
            return answer, len(target.ran)

    (_, _, body), runs = asyncio.run(scenario())
    assert json.loads(body)["echo"] == "stayed"
    assert runs == 2


def test_a_caller_that_reads_slowly_gets_the_whole_answer_and_delays_no_other():
    async def scenario():
        async with one_target() as (_, ingress):
            reader, writer = await asyncio.open_connection(IP, ingress.port, limit=1024)
            writer.write(check_request({"echo": "slow", "size": 900_000}))
            await reader.readexactly(100)
            others = [call(ingress.port, check_request({"echo": n})) for n in range(20)]
            answers = await asyncio.gather(*others)
            rest = await reader.read(10)
            while chunk := await reader.read(4096):
                rest += chunk
                if rest.endswith(b'"}'):
                    break
            writer.close()
            return answers, rest

    answers, rest = asyncio.run(scenario())
    assert [json.loads(body)["echo"] for _, _, body in answers] == list(range(20))
    assert len(rest) > 900_000


@pytest.mark.parametrize(
    "head",
    [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
        "Content-Length: 2\r\nContent-Length: 80\r\n\r\n{}",
        "Content-Length: 2, 2\r\n\r\n{}",
        "Content-Length: +2\r\n\r\n{}",
        "Content-Length: 0x2\r\n\r\n{}",
        f"Content-Length: {'9' * 30}\r\n\r\n{{}}",
        "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
        "Content-Length : 2\r\n\r\n{}",
        "Host: other\r\n\r\n",
        "no colon here\r\n\r\n",
        f"X-Fill: {'f' * 20_000}\r\n\r\n",
        f"X-Fill: {'f' * 200_000}\r\n\r\n",
    ],
)
def test_a_head_that_parsers_could_read_differently_is_refused(head):
    """Guards against a hidden second request (request smuggling)."""

    async def scenario():
        async with one_target() as (target, ingress):
            reader, writer = await asyncio.open_connection(IP, ingress.port)
            writer.write((CHECK_HEAD_START + head + SMUGGLED).encode())
            answer = await read_answer(reader)
            rest = await reader.read()
            writer.close()
            return answer, rest, target.ran

    (status, headers, body), rest, ran = asyncio.run(scenario())
    answer = json.loads(body)
    assert (status, answer["code"], answer["ran"]) == (400, Code.BAD_REQUEST, "no")
    assert headers["connection"] == "close"
    assert rest == b""
    assert ran == []


def test_the_answer_size_limit_comes_from_the_settings():
    async def scenario():
        async with one_target(make_document(), answer_bytes=100) as (_, ingress):
            return await call(ingress.port, check_request({"size": 200}))

    _, _, body = asyncio.run(scenario())
    assert json.loads(body)["code"] == Code.ANSWER_TOO_LARGE
