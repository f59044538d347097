"""Prometheus counters and gauges of one VM."""

from aioprometheus import Counter, Gauge, Registry, render

from endivespindle.core.reasons import Reason, RetryReason

__all__ = ["Metrics"]


class Metrics:
    """Metrics that one VM exports.

    Refusal and retry counters start at zero for every reason.

    Attributes:
        registry: Registry that `render` exports.
    """

    __slots__ = (
        "_gauges",
        "_leaving_servers",
        "_peer_refusals",
        "_platform_calls",
        "_refusals",
        "_requests",
        "_retries",
        "_samples",
        "registry",
    )

    def __init__(self) -> None:
        self.registry = Registry()
        self._refusals = self._make_counter(
            "refusals_total", "Requests refused or failed, by reason."
        )
        self._retries = self._make_counter(
            "retries_total", "Things tried again, by reason."
        )
        self._requests = self._make_counter(
            "requests_total", "Requests answered, by service and outcome."
        )
        self._samples = self._make_counter(
            "samples_total", "Samples, by trainer and outcome."
        )
        self._peer_refusals = self._make_counter(
            "peer_messages_refused_total", "Peer messages refused, by reason."
        )
        self._platform_calls = self._make_counter(
            "platform_calls_total",
            "Calls to the platform, by name and outcome.",
        )
        self._leaving_servers = self._make_counter(
            "leaving_servers_total",
            "Backend servers whose responses announced their shutdown.",
        )
        self._gauges = Gauge(
            "endivespindle_value",
            "Current values, by name.",
            registry=self.registry,
        )
        for reason in Reason:
            self._refusals.set({"reason": reason.code}, 0)
        for retry in RetryReason:
            self._retries.set({"reason": retry.value}, 0)

    def count_refusal(self, reason: Reason) -> None:
        """Counts a refused or failed request."""
        self._refusals.inc({"reason": reason.code})

    def count_retry(self, reason: RetryReason) -> None:
        """Counts a retry."""
        self._retries.inc({"reason": reason.value})

    def count_request(self, *, service: str, outcome: str) -> None:
        """Counts an answered request."""
        self._requests.inc({"service": service, "outcome": outcome})

    def count_sample(self, *, trainer: str, outcome: str) -> None:
        """Counts a sample."""
        self._samples.inc({"trainer": trainer, "outcome": outcome})

    def count_peer_refusal(self, reason: str) -> None:
        """Counts a refused peer message."""
        self._peer_refusals.inc({"reason": reason})

    def count_platform_call(self, call: str, outcome: str) -> None:
        """Counts a call to the platform, sent or rejected locally."""
        self._platform_calls.inc({"call": call, "outcome": outcome})

    def count_leaving_server(self, service: str) -> None:
        """Counts a server whose response announced its shutdown."""
        self._leaving_servers.inc({"service": service})

    def set_gauge(self, name: str, value: float) -> None:
        """Sets the current value of a gauge."""
        self._gauges.set({"name": name}, value)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        content, _ = render(self.registry, [])
        return content

    def _make_counter(self, name: str, doc: str) -> Counter:
        return Counter(f"endivespindle_{name}", doc, registry=self.registry)
