"""Client accounts' apps that call the service in a demo."""

import asyncio
import collections
import time

import aiohttp
import msgspec

from endivespindle.schema.generated.demo import CallStream

__all__ = ["CallerApp"]


class CallerApp:
    """Makes one stream of calls, each once.

    Attributes:
        outcomes: Calls by outcome: `ok`, or the reason code.
        accepted_at: Monotonic time of the last call accepted.
        ran: Calls by what was said of whether they ran.
        wrong: Answers that were not the whole answer to their own call.
        tokens: Tokens received in whole answers.
    """

    __slots__ = (
        "_entries",
        "_key",
        "_session",
        "accepted_at",
        "outcomes",
        "ran",
        "request_ids",
        "spec",
        "tokens",
        "wrong",
    )

    def __init__(
        self,
        *,
        spec: CallStream,
        key: str,
        entries: list[str],
        session: aiohttp.ClientSession,
    ):
        self.spec = spec
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.ran: collections.Counter[str] = collections.Counter()
        self.request_ids: dict[str, str] = {}
        self.accepted_at = 0.0
        self.wrong = 0
        self.tokens = 0
        self._key = key
        self._entries = entries
        self._session = session

    async def run(self, pause_s: float) -> None:
        """Makes all calls, some at once, with a pause after each."""
        numbers = iter(range(self.spec.count))

        async def worker() -> None:
            for number in numbers:
                await self._call(number)
                await asyncio.sleep(pause_s)

        await asyncio.gather(*(worker() for _ in range(self.spec.at_once)))

    async def _call(self, number: int) -> None:
        entry = self._entries[number % len(self._entries)]
        headers = {"Authorization": f"Bearer {self._key}"}
        body, url = self._body(number, entry)
        try:
            async with self._session.post(
                url, data=body, headers=headers
            ) as resp:
                answer = await resp.read()
        except aiohttp.ClientError as exc:
            self.outcomes[type(exc).__name__] += 1
            return
        if resp.status == 200:
            self._accept(body, answer, resp)
            return
        error = msgspec.json.decode(answer)["error"]
        self.outcomes[error["reason"]] += 1
        self.ran[error["ran"]] += 1
        self.request_ids[error["request_id"]] = error["ran"]

    def _body(self, number: int, entry: str) -> tuple[bytes, str]:
        if self.spec.path:
            text = f"{self.spec.client_account} call {number}"
            return text.encode(), entry + self.spec.path
        asked = {
            "model": self.spec.model,
            "prompt": f"{self.spec.client_account} asks {number}",
            "max_tokens": self.spec.max_tokens,
            "stream": self.spec.stream,
        }
        return msgspec.json.encode(asked), entry + "/v1/completions"

    def _accept(
        self, body: bytes, answer: bytes, resp: aiohttp.ClientResponse
    ) -> None:
        if self.spec.path:
            whole = answer == body
        elif self.spec.stream:
            whole = answer.endswith(b"data: [DONE]\n\n")
        else:
            usage = msgspec.json.decode(answer)["usage"]
            self.tokens += usage["completion_tokens"]
            whole = usage["completion_tokens"] > 0
        if not whole:
            self.wrong += 1
            self.outcomes["broken_stream"] += 1
            return
        self.accepted_at = time.monotonic()
        self.outcomes["ok"] += 1
        request_id = resp.headers.get("X-Request-Id", "")
        self.request_ids[request_id] = "ran"
