"""Headers that an HTTP intermediary passes on."""

from collections.abc import Iterable

__all__ = ["end_to_end_headers"]

# Hop-by-hop headers (RFC 9110, section 7.6.1), and headers set anew per hop.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Returns the headers without the hop-by-hop ones."""
    pairs = list(headers)
    connection_options = {
        option.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for option in value.split(",")
    }
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in _HOP_BY_HOP
        and name.lower() not in connection_options
    ]
