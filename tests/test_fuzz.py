"""Guards against requests that get an answer without a code, or none at all."""

import asyncio
import json
import re

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from request_path import ENVIRONMENT, IP, KEY, Vm, call, entry, get_request, read_answer

from flamingoway.status import Code
from standins.target import Target

SILENCE_TIMEOUT_S = 0.1
HEAD_LINE = re.compile(rb"HEAD [^\r\n]* HTTP/1\.\d\r?\n")

METHODS = st.sampled_from(
    ["GET", "POST", "POST", "DELETE", "HEAD", "get", "P\x00ST", ""]
)
PATHS = st.one_of(
    st.sampled_from(
        [
            f"/v1/{ENVIRONMENT}/checks/slot",
            f"/v1/{ENVIRONMENT}/jobs",
            f"/v1/{ENVIRONMENT}/jobs/job-1",
            f"/v1/{ENVIRONMENT}/checks/../jobs",
            "/healthz",
            "/readyz?x=1",
            "http://entry/v1",
            "*",
        ]
    ),
    st.text(st.characters(max_codepoint=255), max_size=30),
)
VERSIONS = st.sampled_from(["HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "HTTP", "http/1.1"])
HEADER_NAMES = st.sampled_from(
    [
        "Content-Length",
        "content-length",
        "Transfer-Encoding",
        "Host",
        "Expect",
        "Connection",
        "Authorization",
        "Idempotency-Key",
        "X-Timeout-Ms",
        "traceparent",
        "Content-Type",
        "X A",
        "",
    ]
)
HEADER_VALUES = st.one_of(
    st.sampled_from(
        [
            "0",
            "5",
            "-1",
            "2, 2",
            "99999999999999999999",
            "chunked",
            "identity",
            "100-continue",
            "close",
            f"Bearer {KEY}",
            "multipart/form-data; boundary=x",
            "application/x-www-form-urlencoded",
        ]
    ),
    st.text(st.characters(max_codepoint=255), max_size=20),
)
BODIES = st.one_of(
    st.sampled_from(
        [
            b"",
            b"{}",
            b'{"kind":"fit"}',
            b"[" * 5000,
            b"5\r\nhello\r\n0\r\n\r\n",
            b"zz\r\n",
            b"GET /healthz HTTP/1.1\r\n\r\n",
            b'{"kind":"\xff"}',
        ]
    ),
    st.binary(max_size=60),
)
LINE_ENDS = st.sampled_from(["\r\n", "\n", "\r\n ", "\r"])


@st.composite
def requests(draw) -> bytes:
    """Return the bytes of a request, mostly close to a valid one."""
    end = draw(LINE_ENDS) if draw(st.booleans()) else "\r\n"
    body = draw(BODIES)
    lines = [f"{draw(METHODS)} {draw(PATHS)} {draw(VERSIONS)}"]
    fields = draw(st.lists(st.tuples(HEADER_NAMES, HEADER_VALUES), max_size=4))
    if draw(st.booleans()):
        fields += [("Host", "entry"), ("Authorization", f"Bearer {KEY}")]
    if draw(st.booleans()):
        fields.append(("Content-Length", str(len(body))))
    lines += [f"{name}: {value}" for name, value in fields]
    head = end.join(lines).encode("latin1", "replace")
    return head + b"\r\n\r\n" + body


async def send(port: int, request: bytes) -> list[tuple]:
    """Send a request; return all answers until the server closes or is silent.

    An incomplete request gets no answer; reading stops after ``SILENCE_TIMEOUT_S``.
    No assertion depends on that time.
    """
    reader, writer = await asyncio.open_connection(IP, port)
    head_only = HEAD_LINE.match(request) is not None
    writer.write(request)
    answers = []
    try:
        while not reader.at_eof():
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                answers.append(await read_answer(reader, head_only))
    except TimeoutError:
        pass
    except asyncio.IncompleteReadError as exc:
        # After a head that cannot be parsed, the method is not known to be HEAD.
        body_of_refusal = head_only and answers and answers[-1][0] == 400
        assert not exc.partial.strip() or body_of_refusal, exc.partial
    finally:
        writer.close()
    return answers


def check_answers(answers: list[tuple]) -> None:
    """Check that every answer has a code that agrees with its status."""
    for status, headers, body in answers:
        if status == 100:
            continue
        code = Code(int(headers["x-code"]))
        if status != code.http_status:
            raise AssertionError(f"status {status} with code {code.name}")
        assert code is not Code.INTERNAL
        if headers["content-type"] == "application/json" and "x-ran" in headers:
            answer = json.loads(body or b"{}")
            assert answer.get("code", code) == code


def test_every_answer_to_arbitrary_bytes_has_a_code():
    async def send_all(examples: list[bytes]) -> list[tuple]:
        async with (
            Target().serve() as target,
            entry([Vm("t1", IP, target.port)]) as ingress,
        ):
            calls = [send(ingress.port, example) for example in examples]
            results = list(zip(examples, await asyncio.gather(*calls), strict=True))
            alive = await call(ingress.port, get_request("/healthz"))
            return results, alive

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=40,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(requests(), min_size=5, max_size=20))
    def fuzz(examples):
        results, alive = asyncio.run(send_all(examples))
        for example, answers in results:
            try:
                check_answers(answers)
            except (AssertionError, KeyError, ValueError) as exc:
                raise AssertionError(f"{example!r} got {answers!r}") from exc
        assert alive[0] == 200
        answered.extend(answers for _, answers in results if answers)

    answered: list = []
    fuzz()
    assert len(answered) > 100, "most requests should be answered"
