"""Encodes HTTP/1.1 responses."""

from __future__ import annotations

from http import HTTPStatus

Headers = tuple[tuple[bytes, bytes], ...]

REASONS = {s.value: s.phrase.encode() for s in HTTPStatus}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def encode_response(
    status: int, body: bytes, content_type: bytes, extra: Headers = (), keep_alive: bool = False, has_body: bool = True
) -> bytes:
    """Encodes a response. has_body: whether the body is sent, as it is not in reply to HEAD."""
    parts = [b"HTTP/1.1 %d %s\r\ncontent-length: %d\r\n" % (status, REASONS.get(status, b"-"), len(body))]
    if content_type:
        parts.append(b"content-type: %s\r\n" % content_type)
    for name, value in extra:
        parts.append(b"%s: %s\r\n" % (name, value))
    parts.append(b"\r\n" if keep_alive else b"connection: close\r\n\r\n")
    if has_body:
        parts.append(body)
    return b"".join(parts)
