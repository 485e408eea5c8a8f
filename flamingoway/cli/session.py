"""Client of the HTTP API for the commands."""

import asyncio
import socket
from dataclasses import dataclass
from typing import Any

import msgspec
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from ..errors import BadRequest, FlamingowayError, OutcomeUnknown, Refused
from ..status import Code

CONNECT_TIMEOUT_S = 5.0
# Longer than the server takes to resolve a write, so that its response arrives.
REQUEST_TIMEOUT_S = 30.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Session:
    """Client of the API with one server and one key.

    Attributes:
        server: Base URL, for example ``http://127.0.0.1:8080``.
        key: Key of an operator or member.
    """

    server: str
    key: str

    def call(
        self,
        method: str,
        path: str,
        body: bytes | dict | None = None,
        headers: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Send one request and return the fields of the response.

        Raises:
            FlamingowayError: With the code of the response or, without a response,
                a code that tells whether the request may have run.
        """
        self._check_options()
        if isinstance(body, dict):
            body = msgspec.json.encode(body)
        if body is None and method == "POST":
            body = b""
        request = HTTPRequest(
            self.server.rstrip("/") + path,
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self.key}", **(headers or {})},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            follow_redirects=False,
        )
        return _decode(asyncio.run(self._send(request)), self.server)

    async def _send(self, request: HTTPRequest) -> HTTPResponse:
        client = AsyncHTTPClient(force_instance=True, max_body_size=MAX_RESPONSE_BYTES)
        try:
            return await client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as exc:
            raise self._connection_error(request.method, exc) from None
        except ValueError as exc:
            raise BadRequest(
                f"--server: found {self.server!r}; allowed: a URL such as "
                f"http://127.0.0.1:8080 ({exc})",
                Code.USAGE,
                field="server",
            ) from None
        finally:
            client.close()

    def _connection_error(self, method: str, error: Exception) -> FlamingowayError:
        text = f"{self.server}: {error}"
        if _is_connect_failure(error):
            return Refused(f"cannot connect to {text}", Code.OWNER_UNAVAILABLE)
        if method == "GET":
            return Refused(f"no answer from {text}", Code.OWNER_UNAVAILABLE)
        return OutcomeUnknown(f"no answer from {text}; the request may have run")

    def _check_options(self) -> None:
        for name, value in (("server", self.server), ("key", self.key)):
            if not value:
                raise BadRequest(
                    f"--{name}: found nothing; allowed: --{name} or the environment "
                    f"variable FLAMINGOWAY_{name.upper()}",
                    Code.USAGE,
                    field=name,
                )
        # A line break in the key would end the Authorization header.
        if not self.key.isascii() or not self.key.isprintable():
            raise BadRequest(
                "--key: found characters that are not printable ASCII; "
                "allowed: printable ASCII",
                Code.USAGE,
                field="key",
            )


def _is_connect_failure(error: Exception) -> bool:
    if isinstance(error, ConnectionRefusedError | socket.gaierror):
        return True
    return isinstance(error, HTTPClientError) and "while connecting" in str(error)


def _decode(response: HTTPResponse, server: str) -> dict[str, Any]:
    try:
        answer = msgspec.json.decode(response.body, type=dict[str, Any])
        code = Code(answer["code"])
    except (msgspec.DecodeError, KeyError, ValueError):
        raise OutcomeUnknown(
            f"{server}: HTTP status {response.code} without a result code; "
            "this is not an entry process of flamingoway",
            Code.ANSWER_INVALID,
        ) from None
    if code // 1000 != 1:
        details = dict(answer.get("details") or {})
        details["trace_id"] = answer.get("trace_id", "")
        raise FlamingowayError(answer.get("message", ""), code, **details)
    return answer
