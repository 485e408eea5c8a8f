"""Guards against requests that get no answer, a wrong one or one without a code."""

import asyncio
import json

import pytest
from request_path import ENVIRONMENT, Vm, call, check_request, entry, get_request

from flamingoway.status import Code
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
