"""Guards against wrong result codes and unauthorised changes in the admin API."""

import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient

from flamingoway.document import digest
from flamingoway.status import Code
from tests.admin_server import admin_server
from tests.document_fakes import make_document

FIRST, SECOND = make_document(1.0), make_document(2.0, "vannes")
TRIAL = "/admin/v1/environments/trial"
PRODUCTION = "/admin/v1/environments/production"


class Caller:
    """Sends requests to the API and checks the code and status of each response."""

    def __init__(self, url):
        self._url = url
        self._client = AsyncHTTPClient(force_instance=True)

    async def call(self, method, path, body=None, key="key-ana", **headers):
        if key:
            headers["Authorization"] = f"Bearer {key}"
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        answer = await self._client.fetch(
            self._url + path,
            method=method,
            body=body,
            headers=headers,
            raise_error=False,
            allow_nonstandard_methods=True,
        )
        fields = json.loads(answer.body)
        code = Code(fields["code"])
        assert answer.code == code.http_status
        assert fields["ran"] == code.ran
        assert answer.headers["X-Code"] == str(int(code))
        return fields


def run(scenario):
    async def main():
        async with admin_server() as (url, store):
            await scenario(Caller(url), store)

    asyncio.run(main())


def promotion_body(data, expected):
    body = {"digest": digest(data), "from": "trial", "expected_version": expected}
    return json.dumps(body)


def test_document_goes_from_trial_to_production():
    """Guards the life cycle of a document: validate, try, promote, show, history."""

    async def scenario(caller, store):
        valid = await caller.call("POST", f"{TRIAL}/validate", FIRST)
        assert (valid["code"], valid["digest"]) == (1000, digest(FIRST))
        assert (await caller.call("GET", TRIAL))["version"] == 0
        tried = await caller.call("POST", f"{TRIAL}/try", FIRST, If_Match='"0"')
        assert (tried["version"], tried["digest"]) == (1, digest(FIRST))
        done = await caller.call(
            "POST", f"{PRODUCTION}/promote", promotion_body(FIRST, 0)
        )
        assert (done["version"], done["operator"]) == (1, "ana")
        shown = await caller.call("GET", PRODUCTION)
        assert shown["document"].encode() == FIRST
        assert shown["tried_digest"] == digest(FIRST)
        assert (await caller.call("GET", f"{TRIAL}/versions/1"))["document"]
        history = await caller.call("GET", f"{PRODUCTION}/history?limit=5")
        assert [entry["source"] for entry in history["history"]] == ["trial"]

    run(scenario)


def test_conflict_and_untried_digest_are_told_apart():
    """Guards against a conflict error that omits the other operator's changes."""

    async def scenario(caller, store):
        await caller.call("POST", f"{TRIAL}/try", FIRST, If_Match="0")
        await caller.call("POST", f"{TRIAL}/try", SECOND, key="key-bel", If_Match="1")
        late = await caller.call("POST", f"{TRIAL}/try", FIRST, If_Match="1")
        assert late["name"] == "VERSION_CONFLICT"
        assert late["details"]["operator"] == "bel"
        assert "+ members.vannes" in late["details"]["changed"]
        untried = make_document(7.0)
        path = f"{PRODUCTION}/promote"
        refused = await caller.call("POST", path, promotion_body(untried, 0))
        assert refused["name"] == "NOT_TRIED"
        old = await caller.call("POST", path, promotion_body(FIRST, 0))
        assert old["name"] == "OK"

    run(scenario)


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "name"),
    [
        ("GET", TRIAL, None, {"key": "key-brest"}, "UNAUTHENTICATED"),
        ("POST", f"{TRIAL}/try", FIRST, {"key": None}, "UNAUTHENTICATED"),
        ("POST", f"{TRIAL}/try", FIRST, {}, "BAD_REQUEST"),
        ("POST", f"{TRIAL}/try", FIRST, {"If_Match": "-1"}, "BAD_REQUEST"),
        ("POST", f"{TRIAL}/try", b"a: 1", {"If_Match": "0"}, "BAD_DOCUMENT"),
        ("POST", f"{TRIAL}/try", b"\xff\x00", {"If_Match": "0"}, "BAD_DOCUMENT"),
        ("POST", f"{PRODUCTION}/try", FIRST, {"If_Match": "0"}, "FORBIDDEN"),
        ("POST", f"{PRODUCTION}/promote", "{", {}, "BAD_REQUEST"),
        ("POST", f"{PRODUCTION}/promote", promotion_body(FIRST, 0), {}, "NOT_TRIED"),
        ("GET", "/admin/v1/environments/nowhere", None, {}, "NOT_FOUND"),
        ("GET", f"{TRIAL}/versions/7", None, {}, "NOT_FOUND"),
        ("GET", f"{TRIAL}/history?limit=0", None, {}, "BAD_REQUEST"),
        ("GET", f"{TRIAL}/jobs/job-2/explain", None, {}, "NOT_FOUND"),
        ("GET", f"{TRIAL}/try", None, {}, "NOT_FOUND"),
        ("DELETE", TRIAL, None, {}, "NOT_FOUND"),
    ],
)
def test_refusals_have_their_code_and_change_nothing(method, path, body, headers, name):
    """Guards against invalid requests that get the wrong code or take effect."""

    async def scenario(caller, store):
        before = store.engine.revision
        answer = await caller.call(method, path, body, **headers)
        assert answer["name"] == name
        assert answer["message"]
        assert store.engine.revision == before

    run(scenario)


def test_store_outage_is_refused_as_not_run():
    """Guards against reporting a document as accepted during a store outage."""

    async def scenario(caller, store):
        store.down = True
        answer = await caller.call("POST", f"{TRIAL}/try", FIRST, If_Match="0")
        assert (answer["name"], answer["ran"]) == ("STORE_UNAVAILABLE", "no")
        valid = await caller.call("POST", f"{TRIAL}/validate", FIRST)
        assert valid["name"] == "OK"

    run(scenario)


def test_status_lists_processes_that_do_not_answer():
    """Guards against a status that omits a dead process or shows a former owner."""

    async def scenario(caller, store):
        status = await caller.call("GET", "/admin/v1/status")
        rows = status["processes"]
        assert [row["reachable"] for row in rows] == [True, True, False]
        assert [row["local"] for row in rows] == [True, False, False]
        assert status["shards"]["brittany"]["owner"] == "entry-2"
        assert status["documents"]["trial"] == {"lowest": 0, "highest": 2}

    run(scenario)


def test_explanation_and_trace_id_are_passed_on():
    """Guards against responses that cannot be correlated with the caller's trace."""

    async def scenario(caller, store):
        trace_id = "4bf92f3577b34da6a3ce929d0e0e4736"
        header = f"00-{trace_id}-00f067aa0ba902b7-01"
        path = f"{TRIAL}/jobs/job-1/explain"
        answer = await caller.call("GET", path, traceparent=header)
        assert answer["reasons"] == ["the member's quota is used up"]
        assert answer["trace_id"] == trace_id

    run(scenario)


def test_refusals_are_counted():
    """Guards against refusals that are missing from the metrics."""

    async def scenario(caller, store):
        await caller.call("GET", TRIAL, key="wrong")
        client = AsyncHTTPClient(force_instance=True)
        answer = await client.fetch(caller._url + "/metrics")
        line = b'flamingoway_refusals_total{code="UNAUTHENTICATED"} 1.0'
        assert line in answer.body

    run(scenario)
