"""Client and messages for calls between nodes."""

import enum
import math
from typing import TypeVar

import aiohttp
import msgspec

from endivespindle.batch.partial_completions import ItemSnapshot
from endivespindle.batch.progress import ItemResult
from endivespindle.controller.usage_windows import NodeUsageCounts
from endivespindle.core.decoding import decode_msgpack
from endivespindle.exceptions import PeerError
from endivespindle.runtime.fleet_view import NodeRecord
from endivespindle.serving.evidence_exchange import EvidenceMessage
from endivespindle.serving.rate_shares import LimitReport, LimitShare

__all__ = [
    "EvidenceUpdate",
    "GatewayUpdate",
    "GatewayUpdateReply",
    "ItemSnapshots",
    "JobOwnerUpdate",
    "JobRelease",
    "JobReply",
    "JobReplyStatus",
    "JobRequest",
    "PeerClient",
    "PlacementQuestion",
    "StreamOrigin",
    "WeightLoadUpdate",
]

# A peer in the same region responds within a few milliseconds. One that takes
# this long is frozen, partitioned or overloaded.
_PEER_TIMEOUT_S = 0.7

_T = TypeVar("_T")


class JobReplyStatus(enum.StrEnum):
    """Status of a reply about a job."""

    OK = "ok"
    MISSING = "missing"
    NOT_OWNER = "not_owner"
    UNSURE = "unsure"


class JobRequest(msgspec.Struct, kw_only=True):
    """Request to the owner of a job: reads results, ends it or reads an item.

    Attributes:
        job_id: ID of the job.
        after: Position of the first result to return.
        wait_s: Maximum time to wait for a result, in seconds.
        end: Whether to end the job instead of reading results.
        item_id: Item whose body to return instead; empty for results.
        stored_owner: Owner by the store, if the sender has just read it. If the
            receiver is that owner and does not know so yet, it adopts the job.
        client_account: Client account of the caller, without which the owner
            tells only the account of the job and does nothing; None if it need
            not be compared. Earlier versions neither send nor compare it.
    """

    job_id: str
    after: int = 0
    wait_s: float = 0.0
    end: bool = False
    item_id: str = ""
    stored_owner: str = ""
    client_account: str | None = None


class JobReply(msgspec.Struct, kw_only=True):
    """Reply to a `JobRequest`.

    Attributes:
        state: Status; the other fields are valid only if it is `OK`.
        client_account: Client account of the job.
        total: Number of items.
        results: Results from the requested position on.
        body: Body of the requested item.
    """

    state: JobReplyStatus
    client_account: str = ""
    total: int = 0
    results: list[ItemResult] = []
    body: bytes | None = None


class JobOwnerUpdate(msgspec.Struct, kw_only=True):
    """Informs peers of the owner of a job.

    Attributes:
        job_id: ID of the job.
        owner_id: Node that runs the job.
        adopt: Whether the receiver is to take over the job.
        owner_before: Previous owner, if the job is being handed over.
    """

    job_id: str
    owner_id: str
    adopt: bool = False
    owner_before: str = ""


class JobRelease(msgspec.Struct, kw_only=True):
    """Informs the owner of a job of a takeover and requests its snapshots.

    Attributes:
        job_id: ID of the job.
        owner_id: Node that took over the job.
        version: Version of the job's record that made this node the owner.
    """

    job_id: str
    owner_id: str
    version: int


class ItemSnapshots(msgspec.Struct, kw_only=True):
    """Progress of the uncommitted items, from the previous owner of a job."""

    texts: list[ItemSnapshot] = []


class GatewayUpdate(msgspec.Struct, kw_only=True):
    """Periodic update from a gateway to the controllers.

    Attributes:
        counts: Requests started, by usage window.
        required: Oldest weight version that its open jobs accept, by model.
        wanted: Slot demand of its open jobs, by service.
        limits: Servers that limit their request rate, as it knows.
        demand_per_s: Requests per second that it would send, by service; only
            if there are such servers.
        evidence: Crashes of servers that the controller does not know of yet.
    """

    counts: NodeUsageCounts
    required: dict[str, int]
    wanted: dict[str, int]
    limits: list[LimitReport] = []
    demand_per_s: dict[str, float] = {}
    evidence: EvidenceMessage | None = None


class EvidenceUpdate(msgspec.Struct, kw_only=True):
    """Crashes of servers that a gateway tells another gateway.

    Attributes:
        node: Name of the sender.
        evidence: Changes that the receiver does not know of yet.
    """

    node: str
    evidence: EvidenceMessage


class GatewayUpdateReply(msgspec.Struct, kw_only=True):
    """Reply to a `GatewayUpdate`.

    Attributes:
        shares: Servers that limit their request rate, and the gateway's share.
        evidence: Crashes of servers that the gateway does not know of yet.
    """

    shares: list[LimitShare] = []
    evidence: EvidenceMessage | None = None


class StreamOrigin(msgspec.Struct, kw_only=True):
    """Which software version began a stream.

    Attributes:
        request_id: ID of the client attempt that received the first event.
        software: Software version of the server; None if it is not known, or
            asked for.
    """

    request_id: str
    software: str | None = None


class PlacementQuestion(msgspec.Struct, kw_only=True):
    """Asks where a request would be sent now.

    Attributes:
        host: Host header of the request.
        path: Path of the request.
    """

    host: str
    path: str


class WeightLoadUpdate(msgspec.Struct, kw_only=True):
    """Informs gateways that a server is loading a weight version.

    Attributes:
        server: Name of the server.
        model: Model.
        version: Weight version that is being loaded.
        ready_s: Expected time until the version is loaded, in seconds.
    """

    server: str
    model: str
    version: int
    ready_s: float


class PeerClient:
    """Client for calls to other nodes.

    Args:
        session: HTTP session with pooled connections.

    Attributes:
        session: The same session, for calls whose replies are read as they
            arrive.
    """

    __slots__ = ("session",)

    def __init__(self, *, session: aiohttp.ClientSession):
        self.session = session

    async def ask(self, node: NodeRecord, request: JobRequest) -> JobReply:
        """Sends a request to the owner of a job and returns its reply.

        Raises:
            PeerError: The owner did not respond, or its reply is malformed.
        """
        body = await self.post(
            node,
            "/jobs/ask",
            request,
            timeout_s=_PEER_TIMEOUT_S + request.wait_s,
        )
        return _decode_reply(body, JobReply, node)

    async def release(
        self, node: NodeRecord, release: JobRelease
    ) -> list[ItemSnapshot]:
        """Makes a node release a job; returns its snapshots of the items.

        Raises:
            PeerError: The node did not respond, or its reply is malformed.
        """
        body = await self.post(node, "/jobs/release", release)
        return _decode_reply(body, ItemSnapshots, node).texts

    async def send_update(
        self, node: NodeRecord, update: GatewayUpdate
    ) -> GatewayUpdateReply:
        """Sends a gateway's update to a controller and returns its reply.

        Raises:
            PeerError: The node did not respond, or its reply is malformed.
        """
        body = await self.post(node, "/node/news", update)
        return _decode_reply(body, GatewayUpdateReply, node)

    async def exchange_evidence(
        self, node: NodeRecord, update: EvidenceUpdate
    ) -> EvidenceMessage:
        """Sends crashes of servers to a gateway and returns what it knows.

        Raises:
            PeerError: The node did not respond, or its reply is malformed.
        """
        body = await self.post(node, "/node/evidence", update)
        return _decode_reply(body, EvidenceMessage, node)

    async def post(
        self,
        node: NodeRecord,
        path: str,
        message: msgspec.Struct,
        *,
        timeout_s: float = _PEER_TIMEOUT_S,
    ) -> bytes:
        """Sends a message and returns the body of the response.

        Raises:
            PeerError: The node did not respond, or refused the message.
            ValueError: The timeout is not finite.
        """
        if not math.isfinite(timeout_s):
            raise ValueError("a call between nodes needs a finite timeout")
        try:
            async with self.session.post(
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


def _decode_reply(body: bytes, reply_type: type[_T], node: NodeRecord) -> _T:
    try:
        return decode_msgpack(body, type=reply_type)
    except msgspec.MsgspecError as exc:
        raise PeerError(f"{node.name}: {exc}") from exc
