"""Calls to plain services, by route rules."""

import msgspec
from aiohttp import web

from endivespindle.backends.interfaces import ServiceCall, ServiceResponse
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.gateway.callers import (
    Caller,
    read_body,
    read_timeout_s,
    resolve_caller,
)
from endivespindle.gateway.errors import REQUEST_ID
from endivespindle.node.admission import Admission
from endivespindle.node.context import NodeContext
from endivespindle.node.dispatch import Dispatcher
from endivespindle.node.idempotency import IdempotencyKeys
from endivespindle.routing.idempotency import record_name, request_digest
from endivespindle.schema.generated.caller import RunState
from endivespindle.schema.generated.register import Route
from endivespindle.usage.billing import UsageOutcome

__all__ = ["ServicesHandler"]

_CALL_COST_TOKENS = 32.0
_OPEN_ACCOUNT = "-open-"
_KEY_HEADER = "Idempotency-Key"
_MAX_KEY_CHARS = 255


class ServicesHandler:
    """Passes calls on to plain services.

    Args:
        ctx: Shared state of the VM.
        dispatcher: Sends calls to backend servers.
        admission: Lets requests run in fair order.
        keys: Claims callers' idempotency keys.
    """

    __slots__ = ("_admission", "_ctx", "_dispatcher", "_keys")

    def __init__(
        self,
        *,
        ctx: NodeContext,
        dispatcher: Dispatcher,
        admission: Admission,
        keys: IdempotencyKeys,
    ):
        self._ctx = ctx
        self._dispatcher = dispatcher
        self._admission = admission
        self._keys = keys

    async def handle(self, req: web.Request) -> web.Response:
        """Serves one call along the route of its path."""
        route = self._ctx.view().route(req.path)
        if route is None:
            raise RefusedError(Reason.ROUTE_UNKNOWN)
        if req.method not in route.methods:
            raise RefusedError(Reason.METHOD_NOT_ALLOWED)
        caller = self._caller(req, route)
        timeout_s = min(read_timeout_s(self._ctx, req), route.timeout_s)
        deadline_s = self._ctx.clock.monotonic() + timeout_s
        call = ServiceCall(
            request_id=req[REQUEST_ID],
            method=req.method,
            path=req.path_qs,
            content_type=req.content_type,
            body=await read_body(self._ctx, req),
            timeout_s=timeout_s,
        )
        key = req.headers.get(_KEY_HEADER, "")
        if len(key) > _MAX_KEY_CHARS:
            raise RefusedError(Reason.MALFORMED, _KEY_HEADER)
        return await self._forward(route, call, caller, deadline_s, key)

    def _caller(self, req: web.Request, route: Route) -> Caller:
        if route.open:
            return Caller(ctx=self._ctx, record=None, limit_s=0.0)
        return resolve_caller(
            self._ctx, req, max_unconfirmed_s=route.max_unconfirmed_s
        )

    async def _call_once(
        self, route: Route, call: ServiceCall, caller: Caller, key: str
    ) -> ServiceResponse:
        """Makes a call, at most once for its key if the route takes keys."""
        if not key or not route.idempotency_keys:
            return await self._dispatch(route, call, caller)
        return await self._keys.run(
            name=record_name(
                client_account=caller.client_account or _OPEN_ACCOUNT,
                route=route.prefix,
                key=key,
            ),
            digest=request_digest(
                method=call.method, path=call.path, body=call.body
            ),
            expiry_s=self._ctx.view().register.rules.idempotency_expiry_s,
            call=lambda: self._dispatch(route, call, caller),
        )

    async def _forward(
        self,
        route: Route,
        call: ServiceCall,
        caller: Caller,
        deadline_s: float,
        key: str,
    ) -> web.Response:
        account = caller.client_account or _OPEN_ACCOUNT
        async with self._admission.slot(
            service=route.service,
            account=account,
            cost=_CALL_COST_TOKENS,
            timeout_s=call.timeout_s,
        ) as turn:
            turn.tokens = int(_CALL_COST_TOKENS)
            caller.check()
            remaining_s = deadline_s - self._ctx.clock.monotonic()
            answer = await self._call_once(
                route,
                msgspec.structs.replace(call, timeout_s=remaining_s),
                caller,
                key,
            )
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={
                "Content-Type": answer.content_type,
                "X-Request-Id": call.request_id,
            },
        )

    async def _dispatch(
        self, route: Route, call: ServiceCall, caller: Caller
    ) -> ServiceResponse:
        """Sends a call and bills it; a replayed answer is not billed."""
        try:
            answer = await self._dispatcher.call(
                route=route,
                call=call,
                max_bytes=self._ctx.view().register.rules.max_body_bytes,
            )
        except RefusedError as exc:
            if exc.ran is not RunState.NOT_RUN:
                self._bill(route, call, caller, UsageOutcome.WAIVED)
            raise
        self._bill(route, call, caller, UsageOutcome.RAN)
        return answer

    def _bill(
        self,
        route: Route,
        call: ServiceCall,
        caller: Caller,
        outcome: UsageOutcome,
    ) -> None:
        if caller.client_account is None:
            return
        self._ctx.record_usage(
            request_id=call.request_id,
            client_account=caller.client_account,
            service=route.service,
            outcome=outcome,
        )
