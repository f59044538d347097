"""The HTTP application of one entry VM."""

from collections.abc import Callable, Collection, Coroutine

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.gateway.callers import (
    KEY_CHECK_INTERVAL_S,
    KEY_REASONS,
    resolve_caller,
)
from endivespindle.gateway.completions import CompletionsHandler
from endivespindle.gateway.errors import REQUEST_ID, error_response
from endivespindle.gateway.operators import OperatorsHandler
from endivespindle.gateway.rollout import RolloutHandler
from endivespindle.gateway.services import ServicesHandler
from endivespindle.gateway.streams import run_checked
from endivespindle.node.context import NodeContext
from endivespindle.schema.generated.caller import RunState

__all__ = ["build_app"]

_Waiting = Callable[[web.Request], Coroutine[None, None, web.Response]]

_HTTP_REASONS = {
    404: Reason.ROUTE_UNKNOWN,
    405: Reason.METHOD_NOT_ALLOWED,
    413: Reason.BODY_TOO_LARGE,
}


def build_app(
    *,
    ctx: NodeContext,
    completions: CompletionsHandler,
    rollout: RolloutHandler,
    services: ServicesHandler,
    operators: OperatorsHandler,
) -> web.Application:
    """Returns the application with every route of the service."""
    app = web.Application(
        middlewares=[
            _guard(ctx, (operators.health, operators.ready, operators.metrics))
        ],
        client_max_size=ctx.settings.limits.max_body_bytes,
    )
    trainer = "/rollout/v1/trainers/{trainer}"
    app.add_routes(
        [
            web.get("/healthz", operators.health),
            web.get("/readyz", operators.ready),
            web.get("/metrics", operators.metrics),
            web.get("/operator/v1/status", operators.status),
            web.get("/operator/v1/explain/{id:.+}", operators.explain),
            web.get("/v1/models", completions.models),
            web.post("/v1/completions", completions.complete),
            web.post(trainer + "/steps", rollout.submit),
            web.post(trainer + "/version", rollout.declare),
            web.get(trainer + "/samples", _while_key_works(ctx, rollout.pull)),
            web.post(trainer + "/acknowledgements", rollout.acknowledge),
            web.post(trainer + "/returns", rollout.return_sample),
            web.route("*", "/{path:.*}", services.handle),
        ]
    )
    return app


def _guard(ctx: NodeContext, unguarded: Collection[_Waiting]) -> Middleware:
    """Names each request, and turns refusals into typed bodies.

    Args:
        ctx: Shared state of the VM.
        unguarded: Handlers that serve also while the VM leaves. The handler
            decides and not the path, which may be that of a route as well.
    """

    @web.middleware
    async def guard(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        request[REQUEST_ID] = ctx.ids.new("r")
        if request.match_info.handler in unguarded:
            resp = await handler(request)
        else:
            resp = await _guarded(ctx, request, handler)
        if not resp.prepared:
            resp.headers["X-Request-Id"] = request[REQUEST_ID]
        return resp

    return guard


def _while_key_works(ctx: NodeContext, handler: _Waiting) -> _Waiting:
    """Ends a handler that waits once the key of its request is withdrawn.

    What it has read may have been noted as offered, so that the refusal does
    not say that it did not run.
    """

    async def handle(req: web.Request) -> web.Response:
        caller = resolve_caller(ctx, req)
        try:
            return await run_checked(
                handler(req), caller.check, interval_s=KEY_CHECK_INTERVAL_S
            )
        except RefusedError as exc:
            if exc.reason not in KEY_REASONS:
                raise
            raise RefusedError(exc.reason, ran=RunState.UNKNOWN) from exc

    return handle


async def _guarded(
    ctx: NodeContext, req: web.Request, handler: Handler
) -> web.StreamResponse:
    if not ctx.drain.accepts():
        resp = _refuse(
            ctx, req, RefusedError(Reason.DRAINING, retry_after_s=1.0)
        )
        resp.force_close()
        return resp
    ctx.drain.running += 1
    try:
        return await handler(req)
    except RefusedError as exc:
        return _refuse(ctx, req, exc)
    except web.HTTPException as exc:
        reason = _HTTP_REASONS.get(exc.status, Reason.MALFORMED)
        return _refuse(ctx, req, RefusedError(reason))
    except ConnectionResetError:
        ctx.record_event(req[REQUEST_ID], "caller_left")
        raise
    except Exception as exc:
        ctx.log.error("request_broke", error=type(exc).__name__, exc_info=exc)
        return _refuse(ctx, req, RefusedError(Reason.INTERNAL))
    finally:
        ctx.drain.running -= 1


def _refuse(
    ctx: NodeContext, req: web.Request, exc: RefusedError
) -> web.Response:
    ctx.metrics.count_refusal(exc.reason)
    ctx.record_event(req[REQUEST_ID], "refused", reason=exc.reason.code)
    return error_response(exc, request_id=req[REQUEST_ID])
