"""Small client of the HTTP API for demonstrations and process tests."""

import time

from .cluster import OPERATOR_KEY, Answer, request, wait_until

FINAL_STATES = ("succeeded", "failed", "cancelled")


class Operator:
    """Client of the administration API of one entry process."""

    def __init__(self, url: str, key: str = OPERATOR_KEY):
        self._url = url
        self._headers = {"Authorization": f"Bearer {key}"}

    def version(self, environment: str) -> int:
        """Return the environment's document version, 0 if it has none."""
        answer = self.call("GET", f"environments/{environment}")
        return int(answer.body.get("version", 0)) if answer.status == 200 else 0

    def validate(self, environment: str, document: bytes) -> Answer:
        """Validate a document without changing anything."""
        return self.call("POST", f"environments/{environment}/validate", document)

    def try_document(self, environment: str, document: bytes) -> Answer:
        """Accept a document into a trial environment."""
        seen = str(self.version(environment))
        path = f"environments/{environment}/try"
        return self.call("POST", path, document, {"If-Match": seen})

    def promote(self, source: str, environment: str, digest: str) -> Answer:
        """Promote the document with ``digest`` from trial to production."""
        body = {
            "digest": digest,
            "from": source,
            "expected_version": self.version(environment),
        }
        return self.call("POST", f"environments/{environment}/promote", body)

    def status(self) -> dict:
        """Return the state of the cell."""
        return self.call("GET", "status").body

    def call(
        self,
        method: str,
        path: str,
        body: dict | bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request to the administration API."""
        url = f"{self._url}/admin/v1/{path}"
        return request(method, url, body, self._headers | (headers or {}))


class Member:
    """Client of one member in one environment at one entry process."""

    def __init__(self, url: str, environment: str, member: str):
        self._url = f"{url}/v1/{environment}"
        self._headers = {"Authorization": f"Bearer key-{member}"}

    def check(self, kind: str, body: dict, **headers: str) -> Answer:
        """Send a check and return its response; headers take ``_`` for ``-``."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"{self._url}/checks/{kind}"
        return request("POST", url, body, self._headers | names)

    def submit(
        self, kind: str, params: dict, tasks: int = 1, key: str | None = None
    ) -> Answer:
        """Submit a job."""
        headers = {"Idempotency-Key": key} if key else {}
        body = {"kind": kind, "params": params, "tasks": tasks}
        return request("POST", f"{self._url}/jobs", body, self._headers | headers)

    def job(self, job_id: str) -> Answer:
        """Read one job."""
        return request("GET", f"{self._url}/jobs/{job_id}", headers=self._headers)

    def jobs(self) -> Answer:
        """List the member's jobs."""
        return request("GET", f"{self._url}/jobs", headers=self._headers)

    def cancel(self, job_id: str) -> Answer:
        """Cancel one job."""
        return request("DELETE", f"{self._url}/jobs/{job_id}", headers=self._headers)

    def wait(self, job_id: str, timeout_s: float = 60.0) -> dict:
        """Wait until a job has ended and return it.

        Raises:
            TimeoutError: If it has not ended after ``timeout_s`` seconds.
        """
        last: dict = {}

        def ended() -> bool:
            last.clear()
            last.update(self.job(job_id).body.get("job", {}))
            return last.get("state") in FINAL_STATES

        try:
            wait_until(ended, timeout_s, f"job {job_id} ended")
        except TimeoutError as exc:
            raise TimeoutError(f"{exc}; last seen: {last}") from None
        return last


def wait_for_version(urls: list[str], environment: str, version: int) -> float:
    """Wait until all processes use ``version``; return the seconds it took."""
    started = time.monotonic()

    def is_in_effect() -> bool:
        return all(_documents(url).get(environment, 0) >= version for url in urls)

    wait_until(is_in_effect, 10, f"{environment} version {version} in effect")
    return time.monotonic() - started


def _documents(url: str) -> dict[str, int]:
    status = Operator(url).status()
    own_status = [
        process
        for process in status.get("processes", [])
        if process.get("http_address", "") in url or process.get("local")
    ]
    return own_status[0].get("documents", {}) if own_status else {}
