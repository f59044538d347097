"""TLS towards callers, with certificates reloaded while serving."""

import asyncio
import pathlib
import ssl

import structlog

from endivespindle.schema.generated.settings import ListenSettings

__all__ = ["CertificateReloader"]


class CertificateReloader:
    """Loads the certificate again whenever its files change.

    New handshakes see the new certificate; running connections go on. Files
    that cannot be loaded leave the old certificate in place.

    Args:
        listen: Where the files are, and how often to look.
        log: Log of this VM.

    Attributes:
        context: Context for the server.
    """

    __slots__ = ("_listen", "_log", "_seen", "context")

    def __init__(
        self,
        *,
        listen: ListenSettings,
        log: structlog.typing.FilteringBoundLogger,
    ):
        self._listen = listen
        self._log = log
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._seen = self._stamp()
        self._load()

    async def run(self) -> None:
        """Looks at the files for as long as the VM runs."""
        while True:
            await asyncio.sleep(self._listen.tls_reload_interval_s)
            self.look()

    def look(self) -> None:
        """Loads the files if they changed and are whole."""
        try:
            stamp = self._stamp()
            if stamp == self._seen:
                return
            self._check()
            self._load()
        except (OSError, ssl.SSLError) as exc:
            self._log.error("certificate_not_loaded", error=str(exc))
            return
        self._seen = stamp
        self._log.info("certificate_loaded", file=self._listen.tls_certificate)

    def _check(self) -> None:
        """Tries the files on a context that serves nobody."""
        trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        trial.load_cert_chain(
            self._listen.tls_certificate, self._listen.tls_key
        )

    def _load(self) -> None:
        self.context.load_cert_chain(
            self._listen.tls_certificate, self._listen.tls_key
        )

    def _stamp(self) -> tuple[int, int]:
        certificate = pathlib.Path(self._listen.tls_certificate).stat()
        key = pathlib.Path(self._listen.tls_key).stat()
        return certificate.st_mtime_ns, key.st_mtime_ns
