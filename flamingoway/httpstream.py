"""The callers' end of a connection: refusals that always have a code and arrive."""

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream, UnsatisfiableReadError

LINGER_S = 1.0
MAX_LINGER_BYTES = 4 * 1024 * 1024
# What tornado writes when it cannot parse a head.
_TORNADO_REFUSAL = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class CallerStream(IOStream):
    """Replaces tornado's bare refusal by a coded one.

    Attributes:
        refusal: Builds the whole coded answer to a head that cannot be read.
        refused: Whether a refusal was written; the connection closes after it.
        linger: Takes over the socket of a refused request. Closing a socket with
            unread bytes resets the connection, and the refusal could be lost.
    """

    refusal: Callable[[], bytes] = staticmethod(lambda: _TORNADO_REFUSAL)
    refused = False
    linger: Callable[[socket.socket], None] = staticmethod(socket.socket.close)

    def write(self, data: bytes | memoryview):
        """Write ``data``, or the coded refusal in place of tornado's."""
        if data == _TORNADO_REFUSAL:
            data = b"" if self.refused else self.refusal()
            self.refused = True
        return super().write(data)

    def close(self, exc_info=False) -> None:
        """Close; a head above the limit is refused with a code first."""
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
            self.socket.send(self.refusal())
        except OSError:
            pass


async def discard(sock: socket.socket) -> None:
    """Read and drop what a refused caller still sends; then close the socket."""
    loop = asyncio.get_running_loop()
    left = MAX_LINGER_BYTES
    try:
        sock.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(LINGER_S):
            while left > 0 and (data := await loop.sock_recv(sock, 65536)):
                left -= len(data)
    except (OSError, TimeoutError):
        pass
    finally:
        sock.close()
