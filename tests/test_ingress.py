"""Guards against missing or wrong answers and answers without a code."""

import asyncio
import json
from contextlib import ExitStack

import pytest
from request_path import (
    ENVIRONMENT,
    Vm,
    call,
    check_request,
    entry,
    get_request,
    make_context,
    read_answer,
    until,
)
from tornado import web

from flamingoway.core.limiter import MemberLimiter
from flamingoway.errors import Refused
from flamingoway.metrics import Metrics
from flamingoway.settings import TraceSettings
from flamingoway.status import Code
from flamingoway.trace import Tracer
from standins.target import Target

CHECK_PATH = f"/v1/{ENVIRONMENT}/checks/slot"


def test_a_check_is_served_end_to_end():
    """Guards against a break anywhere between caller and target."""

    async def scenario():
        async with (
            Target().serve() as target,
            entry([Vm("t1", target.ip, target.port)]) as ingress,
        ):
            answers = [
                await call(ingress.port, check_request({"service_ms": 1, "echo": n}))
                for n in range(3)
            ]
            return answers, target.ran

    answers, ran = asyncio.run(scenario())
    for n, (status, headers, body) in enumerate(answers):
        assert status == 200
        assert headers["x-code"] == "1000"
        assert json.loads(body)["echo"] == n
        assert json.loads(body)["id"] == ran[n]


@pytest.mark.parametrize(
    ("request_bytes", "code"),
    [
        (check_request(Authorization="Bearer wrong"), Code.UNAUTHENTICATED),
        (check_request(Authorization="Basic x"), Code.UNAUTHENTICATED),
        (check_request(path="/v1/nowhere/checks/slot"), Code.NOT_FOUND),
        (check_request(path=f"/v1/{ENVIRONMENT}/checks/x"), Code.UNKNOWN_KIND),
        (check_request(X_Timeout_Ms="soon"), Code.BAD_REQUEST),
        (check_request(X_Timeout_Ms="0"), Code.BAD_REQUEST),
        (check_request(Idempotency_Key="k" * 200), Code.BAD_KEY),
        (check_request(b"x" * 300_000), Code.BODY_TOO_LARGE),
        (get_request(CHECK_PATH), Code.NOT_FOUND),
        (get_request("/elsewhere"), Code.NOT_FOUND),
        (get_request(f"/v1/{ENVIRONMENT}/jobs/job-2"), Code.NOT_FOUND),
        (check_request(b"[1", path=f"/v1/{ENVIRONMENT}/jobs"), Code.BAD_REQUEST),
        (check_request(), Code.NO_TARGET),
    ],
)
def test_a_request_that_cannot_be_served_gets_its_code(request_bytes, code):
    async def scenario():
        async with entry([]) as ingress:
            return await call(ingress.port, request_bytes)

    status, headers, body = asyncio.run(scenario())
    answer = json.loads(body)
    assert (answer["code"], status) == (code, code.http_status)
    assert answer["ran"] == "no"
    assert headers["x-code"] == str(int(code))


def test_jobs_go_through_the_router_and_come_back_with_codes():
    async def scenario():
        jobs = f"/v1/{ENVIRONMENT}/jobs"
        async with entry([]) as ingress:
            body = {"kind": "fit", "params": {"rooms": 3}, "tasks": 2}
            requests = [
                check_request(body, path=jobs, Idempotency_Key="k1"),
                get_request(jobs),
                get_request(f"{jobs}/job-1"),
                get_request(f"{jobs}/job-1", "DELETE"),
            ]
            answers = [await call(ingress.port, request) for request in requests]
            return answers, ingress._jobs.submitted

    answers, submitted = asyncio.run(scenario())
    bodies = [json.loads(body) for _, _, body in answers]
    assert [status for status, _, _ in answers] == [202, 200, 200, 200]
    assert all(body.keys() >= {"code", "message", "ran", "trace_id"} for body in bodies)
    assert bodies[1]["jobs"] == [bodies[2]["job"]]
    assert bodies[2]["job"]["results"] == {"task-1": {"fits": True}}
    arguments = (ENVIRONMENT, "agency", "fit", 2, False, b'{"rooms": 3}', "k1")
    assert submitted[0][:7] == arguments


JOBS_PATH = f"/v1/{ENVIRONMENT}/jobs"


@pytest.mark.parametrize(
    "path",
    [
        f"{JOBS_PATH}/",
        f"{JOBS_PATH}/job-2",
        f"{JOBS_PATH}/checks/slot",
        f"{JOBS_PATH}x",
        f"{JOBS_PATH}%2F",
        f"{JOBS_PATH}/..",
        f"/{JOBS_PATH}",
        f"{JOBS_PATH}/../jobs",
        f"/v1/{ENVIRONMENT}%2Fjobs",
        f"/v1/{ENVIRONMENT}/sub/jobs",
        f"/v1/{ENVIRONMENT}-2/jobs",
        f"/v1/{ENVIRONMENT[:-1]}/jobs",
        f"/v1/{ENVIRONMENT}/checks/slot/jobs",
        f"http://other{JOBS_PATH}",
    ],
)
def test_a_path_beside_a_route_submits_nothing(path):
    """Guards against a request that is taken under another route or environment."""

    async def scenario():
        body = {"kind": "fit", "params": {}}
        async with entry([]) as ingress:
            answer = await call(ingress.port, check_request(body, path=path))
            return answer, ingress._jobs.submitted

    (_, _, body), submitted = asyncio.run(scenario())
    assert submitted == []
    assert json.loads(body)["code"] in (Code.NOT_FOUND, Code.BAD_REQUEST)


def test_a_submission_whose_body_is_cut_off_is_not_handled():
    """Guards against a job with a part of its parameters."""

    async def scenario():
        request = check_request({"kind": "fit", "params": {}}, path=JOBS_PATH)
        async with entry([]) as ingress:
            _, writer = await asyncio.open_connection("127.0.0.1", ingress.port)
            writer.write(request[:-1])
            await until(lambda: ingress.in_flight)
            writer.close()
            await until(lambda: not ingress.in_flight)
            return ingress._jobs.submitted

    assert asyncio.run(scenario()) == []


def test_the_trace_of_the_caller_continues():
    """Guards against an entry process that drops the trace of its caller."""
    trace = "4bf92f3577b34da6a3ce929d0e0e4736"
    header = f"00-{trace}-00f067aa0ba902b7-01"

    async def scenario():
        async with entry([]) as ingress:
            traced = check_request(traceparent=header)
            untraced = check_request(traceparent=f"00-{'0' * 32}-00f067aa0ba902b7-01")
            return [await call(ingress.port, r) for r in (traced, untraced)]

    traced, untraced = asyncio.run(scenario())
    assert json.loads(traced[2])["trace_id"] == trace
    assert len(untraced[1]["x-trace-id"]) == 32
    assert set(untraced[1]["x-trace-id"]) != {"0"}


class Echo(web.RequestHandler):
    """A route of another module."""

    def post(self):
        self.write({"echo": self.request.body.decode()})


def test_further_routes_are_served_beside_the_api():
    """Guards against an admin API that cannot be mounted."""

    async def scenario():
        async with entry([], routes=[(r"/admin/v1/echo", Echo)]) as ingress:
            requests = [check_request(b"hello", path="/admin/v1/echo")]
            requests += [get_request("/admin/v1/none"), get_request("/healthz")]
            requests += [check_request(b"x" * 400_000, path="/admin/v1/echo")]
            return [await call(ingress.port, request) for request in requests]

    echo, missing, alive, large = asyncio.run(scenario())
    assert json.loads(echo[2]) == {"echo": "hello"}
    assert json.loads(missing[2])["code"] == Code.NOT_FOUND
    assert json.loads(alive[2])["code"] == Code.OK
    assert len(large[2]) > 400_000


def test_a_planned_stop_interrupts_no_request():
    """Guards against requests lost in a rolling restart."""

    async def scenario():
        async with (
            Target().serve() as target,
            entry([Vm("t1", target.ip, target.port)]) as ingress,
        ):
            port = ingress.port
            keep_alive = await asyncio.open_connection("127.0.0.1", port)
            keep_alive[1].write(check_request({"echo": 1}))
            first = await read_answer(keep_alive[0])
            target.started.clear()
            slow = asyncio.create_task(
                call(port, check_request({"service_ms": 300, "echo": 2}))
            )
            await target.started.wait()
            stop = asyncio.create_task(ingress.drain(10.0))
            await asyncio.sleep(0)
            notice = await call(port, get_request("/readyz"))
            # The listener closes after the notice period; open connections stay.
            await until(lambda: not ingress.listening)
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)
            keep_alive[1].write(check_request({"echo": 3}))
            last = await read_answer(keep_alive[0])
            rest = await keep_alive[0].read()
            return first, notice, await slow, last, rest, await stop

    first, notice, slow, last, rest, abandoned = asyncio.run(scenario())
    assert "connection" not in first[1]
    assert json.loads(notice[2])["code"] == Code.STOPPING
    for answer, echo in ((slow, 2), (last, 3)):
        assert json.loads(answer[2])["echo"] == echo
        assert answer[1]["connection"] == "close"
    assert (rest, abandoned) == (b"", 0)


def test_a_stop_past_its_timeout_reports_abandoned_requests():
    async def scenario():
        async with (
            Target().serve() as target,
            entry([Vm("t1", target.ip, target.port)]) as ingress,
        ):
            request = check_request({"service_ms": 1500})
            slow = asyncio.create_task(call(ingress.port, request))
            await target.started.wait()
            abandoned = await ingress.drain(0.05)
            with pytest.raises(asyncio.IncompleteReadError):
                await slow
            return abandoned

    assert asyncio.run(scenario()) == 1


def test_a_queued_check_of_a_disconnected_caller_is_not_started():
    """Guards against slots spent on answers that nobody reads."""

    async def scenario():
        async with (
            Target(slots=1).serve() as target,
            entry([Vm("t1", target.ip, target.port, slots=1)]) as ingress,
        ):
            body = check_request({"service_ms": 100})
            # One takes the slot, the other the extra request allowed beyond the share.
            calls = [call(ingress.port, body) for _ in range(2)]
            first = asyncio.gather(*calls)
            await target.started.wait()
            await until(lambda: ingress.in_flight == 2)
            _, writer = await asyncio.open_connection("127.0.0.1", ingress.port)
            writer.write(check_request({"echo": "left"}))
            await until(lambda: ingress.in_flight == 3)
            writer.close()
            await first
            status, _, _ = await call(ingress.port, check_request())
            return status, len(target.ran)

    assert asyncio.run(scenario()) == (200, 3)


def test_the_calls_of_one_member_in_flight_are_bounded():
    """Guards against a flood of calls, of one member or all, that fills the process."""
    limiter = MemberLimiter(2)
    with ExitStack() as stack:
        for member in ("a", "a", "b", "b", "c", "c", "d", "d"):
            stack.enter_context(limiter.enter(member))
        for member, code in (("a", Code.MEMBER_LIMIT), ("e", Code.OVERLOADED)):
            with pytest.raises(Refused) as caught:
                stack.enter_context(limiter.enter(member))
            assert caught.value.code == code
            assert caught.value.details["retry_after"] > 0
    with limiter.enter("a"), limiter.enter("a"):
        assert limiter._total == 2
    assert limiter._counts == {}


def test_checks_are_measured_and_traced():
    """Guards against waits, refusals or hops missing from metrics and traces."""
    spans = []

    class Sink:
        def export(self, span):
            spans.append(span)

    async def scenario():
        context = make_context()
        context.metrics = Metrics([ENVIRONMENT], ["brittany"])
        context.tracer = Tracer(TraceSettings(), context.rng, sink=Sink())
        async with (
            Target().serve() as target,
            entry([Vm("t1", target.ip, target.port)], context=context) as ingress,
        ):
            await call(ingress.port, check_request())
            await call(ingress.port, get_request("/elsewhere/v1"))
            await call(ingress.port, get_request(f"/v1/{ENVIRONMENT}/jobs/job-2"))
        return context.metrics.render().decode()

    text = asyncio.run(scenario())
    assert [span.name for span in spans][:2] == ["target", "ingress"]
    assert spans[0].parent_id == spans[1].context.span_id
    assert f'check_seconds_count{{environment="{ENVIRONMENT}"}} 1.0' in text
    assert f'wait_seconds_count{{environment="{ENVIRONMENT}",work="check"}} 1.0' in text
    assert 'refusals_total{code="NOT_FOUND"} 1.0' in text


@pytest.mark.parametrize(
    ("sent", "stalled_s", "closed"),
    [
        (b"", 70, False),
        (b"", 80, True),
        (b"POST /v1/x HTTP/1.1\r\nHost:", 80, True),
        (b"POST /v1/x HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", 5, False),
        (b"POST /v1/x HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", 11, True),
        (check_request({"service_ms": 500}), 3600, False),
    ],
)
def test_a_caller_that_stalls_is_disconnected(sent, stalled_s, closed):
    """Guards against connections held by callers that send nothing, or too little."""

    async def scenario():
        async with (
            Target().serve() as target,
            entry([Vm("t1", target.ip, target.port)]) as ingress,
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", ingress.port)
            writer.write(sent)
            connections = ingress._server._connections
            head_complete = b"\r\n\r\n" in sent
            await until(lambda: connections and ingress.in_flight == head_complete)
            now = asyncio.get_running_loop().time()
            for connection in list(connections):
                connection.close_if_slow(now + stalled_s)
            await asyncio.sleep(0)
            await until(lambda: not closed or not connections)
            open_now = len(connections)
            writer.close()
            return open_now

    assert asyncio.run(scenario()) == (not closed)
