"""Identity of a request over its repeats."""

import hashlib

from endivespindle.serving.calls import ServerCall

__all__ = ["request_digest"]

_DIGEST_BYTES = 12


def request_digest(call: ServerCall) -> str:
    """Returns a digest that all repeats of a request have in common.

    A caller that repeats a request gives it a new id. Method, host, target,
    client account and body stay the same.

    Args:
        call: The request as sent to a backend server.

    Returns:
        Hexadecimal digits, from which the request cannot be read.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    parts = (call.method, call.host, call.target, call.client_account)
    for part in parts:
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(call.body)
    return digest.hexdigest()
