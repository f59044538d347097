"""A backend server as it registered itself."""

import msgspec

__all__ = ["ServerEntry"]


class ServerEntry(msgspec.Struct, kw_only=True, frozen=True):
    """A backend server as it registered itself.

    Attributes:
        name: Identity of this incarnation.
        started_ms: Start time in Unix milliseconds; another value under the
            same name is another incarnation.
        service: Service it belongs to.
        host: IP address.
        port: TCP port.
        data_centre: Data centre it runs in.
        slots: Maximum number of concurrent requests.
        draining: Whether it is about to shut down.
        versions: Weight version by model.
        software: Version of its software; streams of one version cannot go on
            at another. Empty if its entry does not name it.
        spot: Whether the platform may reclaim it.
        leaves_in_s: Seconds until it shuts down, as it announced; None if
            unknown.
        cold_for_s: Seconds for which it stays cold, as it announced.
    """

    name: str
    started_ms: int
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    versions: dict[str, int]
    software: str = ""
    spot: bool = False
    leaves_in_s: float | None = None
    cold_for_s: float = 0.0

    @property
    def address(self) -> str:
        """Host and port, as in a URL."""
        return f"{self.host}:{self.port}"
