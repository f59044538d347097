"""Health, readiness, metrics and the operators' questions."""

import hmac

from aiohttp import web

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.gateway.errors import json_response
from endivespindle.node.context import NodeContext
from endivespindle.node.traces import TraceCollector

__all__ = ["OperatorsHandler"]


class OperatorsHandler:
    """Serves what balancers, collectors and operators ask.

    Args:
        ctx: Shared state of the VM.
        finder: Finds stories here and on peers.
    """

    __slots__ = ("_ctx", "_finder")

    def __init__(self, *, ctx: NodeContext, finder: TraceCollector):
        self._ctx = ctx
        self._finder = finder

    async def health(self, req: web.Request) -> web.Response:
        """Says that the process runs."""
        del req
        return json_response({"status": "ok"})

    async def ready(self, req: web.Request) -> web.Response:
        """Says whether the balancer should send requests here."""
        del req
        ready = self._ctx.is_ready()
        return json_response({"ready": ready}, status=200 if ready else 503)

    async def metrics(self, req: web.Request) -> web.Response:
        """Returns every metric."""
        del req
        return web.Response(
            body=self._ctx.metrics.render(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )

    async def status(self, req: web.Request) -> web.Response:
        """Returns what this VM knows of itself and its peers."""
        self._check_token(req)
        members = self._ctx.membership
        return json_response(
            {
                "vm": self._ctx.settings.vm.name,
                "data_centre": self._ctx.settings.vm.data_centre,
                "ready": self._ctx.is_ready(),
                "register_revision": self._ctx.register.revision,
                "key_generation": self._ctx.keys.generation,
                "keys_unconfirmed_s": round(self._ctx.keys.reported_age_s(), 3),
                "peers": {
                    name: members.state_of(name).value for name in members.peers
                },
            }
        )

    async def explain(self, req: web.Request) -> web.Response:
        """Returns the decisions taken for a request or sample on any VM."""
        self._check_token(req)
        story_id = req.match_info["id"]
        events = await self._finder.find(story_id)
        return json_response({"id": story_id, "events": events})

    def _check_token(self, req: web.Request) -> None:
        shown = req.headers.get("Authorization", "").removeprefix("Bearer ")
        token = self._ctx.settings.keys.operator_token
        if not hmac.compare_digest(shown.encode(), token.encode()):
            raise RefusedError(Reason.KEY_UNKNOWN)
