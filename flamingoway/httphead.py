"""Which heads of requests are refused, whatever the path.

A head that two parsers could understand differently may hide a second request
(request smuggling), so it is refused even where the standard allows to accept it.
"""

import re

from tornado import httputil

MAX_HEAD_BYTES = 16 * 1024
_LENGTH = re.compile(r"[0-9]{1,15}")
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_SINGLE_HEADERS = ("Content-Length", "Host", "Transfer-Encoding")


def head_fault(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> str:
    """Return why a head is refused, or an empty string."""
    if start_line.method not in _METHODS:
        return "the method is not known"
    if not start_line.path.startswith("/"):
        return "the path does not start with a slash"
    size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
    if size + len(start_line.path) > MAX_HEAD_BYTES:
        return f"the head is longer than {MAX_HEAD_BYTES} bytes"
    for name in _SINGLE_HEADERS:
        if len(headers.get_list(name)) > 1:
            return f"{name} is repeated"
    length = headers.get("Content-Length")
    if length is not None and not _LENGTH.fullmatch(length):
        return "Content-Length is not a number"
    if "Transfer-Encoding" not in headers:
        return ""
    if length is not None:
        return "both Content-Length and Transfer-Encoding are given"
    if headers["Transfer-Encoding"].lower() != "chunked":
        return "the Transfer-Encoding is not chunked"
    if start_line.version != "HTTP/1.1":
        return "Transfer-Encoding needs HTTP/1.1"
    return ""
