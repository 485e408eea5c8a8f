"""Checks of request headers that apply to every path.

Headers that two parsers could read differently may hide a second request (request
smuggling). Such a request is rejected even where the HTTP standard allows it.
"""

import re

from tornado import httputil

MAX_HEADER_BYTES = 16 * 1024
_CONTENT_LENGTH = re.compile(r"[0-9]{1,15}")
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_SINGLE_HEADERS = ("Content-Length", "Host", "Transfer-Encoding")


def head_error(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> str:
    """Return why a request must be rejected, or an empty string."""
    if start_line.method not in _METHODS:
        return "the request method is unknown"
    if not start_line.path.startswith("/"):
        return "the request path does not start with a slash"
    size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
    if size + len(start_line.path) > MAX_HEADER_BYTES:
        return f"the request headers are longer than {MAX_HEADER_BYTES} bytes"
    for name in _SINGLE_HEADERS:
        if len(headers.get_list(name)) > 1:
            return f"the header {name} is repeated"
    length = headers.get("Content-Length")
    if length is not None and not _CONTENT_LENGTH.fullmatch(length):
        return "Content-Length is not a valid number"
    if "Transfer-Encoding" not in headers:
        return ""
    if length is not None:
        return "both Content-Length and Transfer-Encoding are given"
    if headers["Transfer-Encoding"].lower() != "chunked":
        return "the only Transfer-Encoding supported is chunked"
    if start_line.version != "HTTP/1.1":
        return "Transfer-Encoding requires HTTP/1.1"
    return ""
