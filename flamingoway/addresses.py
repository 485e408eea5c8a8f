"""Network addresses of the form ``IP:port``."""

import ipaddress

MAX_PORT = 65_535


def parse_address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of ``IP:port``.

    Raises:
        ValueError: If it is not an IPv4 address and a port from 1 to 65535.
    """
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))):
        raise ValueError(f"{text[:80]!r} does not end with a port")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is not from 1 to {MAX_PORT}")
    ipaddress.IPv4Address(ip)
    return ip, int(port)
