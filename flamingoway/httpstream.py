"""Client connections: delivers error responses that always have a result code."""

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream, UnsatisfiableReadError

LINGER_S = 1.0
MAX_LINGER_BYTES = 4 * 1024 * 1024
# What tornado writes when it cannot parse the request headers.
_TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class ClientStream(IOStream):
    """Replaces tornado's bare error response by one with a result code.

    Attributes:
        build_refusal: Builds the complete response to headers that cannot be parsed.
        refused: Whether an error response was written; the connection closes after it.
        linger: Takes over the socket after an error response. Closing a socket with
            unread bytes resets the connection, and the client could lose the response.
    """

    build_refusal: Callable[[], bytes] = staticmethod(lambda: _TORNADO_BAD_REQUEST)
    refused = False
    linger: Callable[[socket.socket], None] = staticmethod(socket.socket.close)

    def write(self, data: bytes | memoryview):
        """Write ``data``, or the response with a code in place of tornado's."""
        if data == _TORNADO_BAD_REQUEST:
            data = b"" if self.refused else self.build_refusal()
            self.refused = True
        return super().write(data)

    def close(self, exc_info=False) -> None:
        """Close the connection; first send an error if headers were too long."""
        too_long = isinstance(exc_info, UnsatisfiableReadError)
        if self.socket is not None and (too_long or self.refused):
            self._send_refusal()
            self.linger(self.socket.dup())
        super().close(exc_info)

    def _send_refusal(self) -> None:
        if self.refused:
            return
        self.refused = True
        try:
            self.socket.send(self.build_refusal())
        except OSError:
            pass


async def discard(sock: socket.socket) -> None:
    """Discard what a rejected client still sends, then close the socket."""
    loop = asyncio.get_running_loop()
    remaining = MAX_LINGER_BYTES
    try:
        sock.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(LINGER_S):
            while remaining > 0 and (data := await loop.sock_recv(sock, 65536)):
                remaining -= len(data)
    except (OSError, TimeoutError):
        pass
    finally:
        sock.close()
