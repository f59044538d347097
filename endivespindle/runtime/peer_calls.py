"""Calls from node to node about batch jobs."""

import enum
import math

import aiohttp
import msgspec

from endivespindle.batch.carry import TextCopy
from endivespindle.batch.progress import ItemResult
from endivespindle.controller.usage_windows import NodeUsageCounts
from endivespindle.exceptions import PeerError
from endivespindle.runtime.fleet_view import NodeRecord

__all__ = [
    "JobAsk",
    "JobNews",
    "JobRelease",
    "JobReply",
    "JobTexts",
    "LoadNews",
    "NodeNews",
    "PeerCalls",
    "ReadState",
]

# A peer in the same region answers within some milliseconds; one that takes
# this long is frozen, cut off or overloaded.
_PEER_TIMEOUT_S = 0.7


class ReadState(enum.StrEnum):
    """What a node can say of a job."""

    OK = "ok"
    MISSING = "missing"
    NOT_OWNER = "not_owner"
    UNSURE = "unsure"


class JobAsk(msgspec.Struct, kw_only=True):
    """Asks the owner of a job.

    Attributes:
        job_id: Identity of the job.
        after: Position of the first result wanted.
        wait_s: Seconds for which to wait for one.
        end: Whether to end the job instead.
        item_id: Item whose body is wanted instead; empty if none is.
    """

    job_id: str
    after: int = 0
    wait_s: float = 0.0
    end: bool = False
    item_id: str = ""


class JobReply(msgspec.Struct, kw_only=True):
    """What the owner says.

    Attributes:
        state: Whether the rest holds.
        client_account: Client account of the job.
        total: Number of items.
        results: Results from the position asked for.
        body: Body of the item asked for.
    """

    state: ReadState
    client_account: str = ""
    total: int = 0
    results: list[ItemResult] = []
    body: bytes | None = None


class JobNews(msgspec.Struct, kw_only=True):
    """Tells peers who runs a job.

    Attributes:
        job_id: Identity of the job.
        owner_id: Node that runs it.
        adopt: Whether the one told is to take it over.
        owner_before: Node that ran it until now, if it is being handed over.
    """

    job_id: str
    owner_id: str
    adopt: bool = False
    owner_before: str = ""


class JobRelease(msgspec.Struct, kw_only=True):
    """Tells an owner that its job was taken over, and asks for its texts.

    Attributes:
        job_id: Identity of the job.
        owner_id: Node that took it over.
        version: Version of the job's record that made it the owner.
    """

    job_id: str
    owner_id: str
    version: int


class JobTexts(msgspec.Struct, kw_only=True):
    """What the owner before had of the items that are not listed."""

    texts: list[TextCopy] = []


class NodeNews(msgspec.Struct, kw_only=True):
    """What a gateway tells the controllers.

    Attributes:
        counts: Requests begun, by usage window.
        required: Oldest weight version that its open jobs accept, by model.
        wanted: Places that its open jobs want, by service.
    """

    counts: NodeUsageCounts
    required: dict[str, int]
    wanted: dict[str, int]


class LoadNews(msgspec.Struct, kw_only=True):
    """Tells gateways that a server is loading a version.

    Attributes:
        server: Name of the server.
        model: Model.
        version: Version that it loads.
        ready_s: Seconds after which it is expected to be there.
    """

    server: str
    model: str
    version: int
    ready_s: float


class PeerCalls:
    """Calls other nodes.

    Args:
        session: Pools connections.
    """

    __slots__ = ("_session",)

    def __init__(self, *, session: aiohttp.ClientSession):
        self._session = session

    async def ask(self, node: NodeRecord, ask: JobAsk) -> JobReply:
        """Asks the owner of a job.

        Raises:
            PeerError: It did not answer.
        """
        body = await self.post(
            node, "/jobs/ask", ask, timeout_s=_PEER_TIMEOUT_S + ask.wait_s
        )
        try:
            return msgspec.msgpack.decode(body, type=JobReply)
        except msgspec.MsgspecError as exc:
            raise PeerError(f"{node.name}: {exc}") from exc

    async def release(
        self, node: NodeRecord, release: JobRelease
    ) -> list[TextCopy]:
        """Has a node give up a job; returns the texts that it has of it.

        Raises:
            PeerError: It did not answer.
        """
        body = await self.post(node, "/jobs/release", release)
        try:
            return msgspec.msgpack.decode(body, type=JobTexts).texts
        except msgspec.MsgspecError as exc:
            raise PeerError(f"{node.name}: {exc}") from exc

    async def post(
        self,
        node: NodeRecord,
        path: str,
        message: msgspec.Struct,
        *,
        timeout_s: float = _PEER_TIMEOUT_S,
    ) -> bytes:
        """Sends one message and returns the answer's body.

        Raises:
            PeerError: It did not answer, or refused.
        """
        if not math.isfinite(timeout_s):
            raise ValueError("a call between nodes needs a timeout")
        try:
            async with self._session.post(
                f"http://{node.endpoint}{path}",
                data=msgspec.msgpack.encode(message),
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as resp:
                body = await resp.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise PeerError(f"{node.name}: {exc!r}") from exc
        if resp.status != 200:
            raise PeerError(f"{node.name}: status {resp.status}")
        return body
