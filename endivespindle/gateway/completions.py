"""Completions for client accounts' apps, streaming and whole."""

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator

import msgspec
from aiohttp import web

from endivespindle.capacity.demand import DemandMeter
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.gateway.callers import (
    KEY_CHECK_INTERVAL_S,
    KEY_REASONS,
    Caller,
    decode_body,
    read_body,
    read_timeout_s,
    resolve_caller,
    resolve_key,
)
from endivespindle.gateway.errors import REQUEST_ID, error_body, json_response
from endivespindle.gateway.streams import checked
from endivespindle.node.admission import Admission, AdmittedRequest
from endivespindle.node.context import NodeContext
from endivespindle.node.dispatch import Dispatcher, GenerationTask
from endivespindle.schema.generated.backend import GenerateChunk
from endivespindle.schema.generated.caller import (
    Completion,
    CompletionChoice,
    CompletionRequest,
    CompletionUsage,
    RunState,
)
from endivespindle.usage.billing import UsageOutcome

__all__ = ["CompletionsHandler"]

_CALLER_PRIORITY = 10


class CompletionsHandler:
    """Serves `/v1/completions` and `/v1/models`.

    Args:
        ctx: Shared state of the VM.
        dispatcher: Sends work to engines.
        admission: Lets requests run in fair order.
        meter: Counts demand.
    """

    __slots__ = ("_admission", "_ctx", "_dispatcher", "_meter")

    def __init__(
        self,
        *,
        ctx: NodeContext,
        dispatcher: Dispatcher,
        admission: Admission,
        meter: DemandMeter,
    ):
        self._ctx = ctx
        self._dispatcher = dispatcher
        self._admission = admission
        self._meter = meter

    async def models(self, req: web.Request) -> web.Response:
        """Lists the models that can be asked."""
        resolve_key(self._ctx, req)
        names = sorted(self._ctx.view().models)
        data = [{"id": name, "object": "model"} for name in names]
        return json_response({"object": "list", "data": data})

    async def complete(self, req: web.Request) -> web.StreamResponse:
        """Answers a completion, whole or as server-sent events."""
        caller = resolve_caller(self._ctx, req)
        asked = decode_body(await read_body(self._ctx, req), CompletionRequest)
        prompt = _only_prompt(asked)
        service = self._ctx.view().models.get(asked.model)
        if service is None:
            raise RefusedError(Reason.MODEL_UNKNOWN)
        timeout_s = read_timeout_s(self._ctx, req)
        account = self._ctx.view().accounts.get(caller.client_account or "")
        if account is None:
            raise RefusedError(Reason.WRONG_ACCOUNT)
        self._meter.add(service.name, asked.max_tokens)
        deadline_s = self._ctx.clock.monotonic() + timeout_s
        async with self._admission.slot(
            service=service.name,
            account=account.name,
            cost=float(asked.max_tokens),
            timeout_s=timeout_s,
        ) as turn:
            caller.check()
            work = GenerationTask(
                request_id=req[REQUEST_ID],
                service=service.name,
                prompt=prompt,
                max_tokens=asked.max_tokens,
                priority=_CALLER_PRIORITY + turn.within_share,
                timeout_s=deadline_s - self._ctx.clock.monotonic(),
            )
            async with contextlib.aclosing(
                self._counted(work, caller, turn)
            ) as chunks:
                if asked.stream:
                    return await self._stream(req, asked, chunks)
                return await self._whole(req, asked, chunks)

    async def _counted(
        self, work: GenerationTask, caller: Caller, turn: AdmittedRequest
    ) -> AsyncGenerator[GenerateChunk, None]:
        """Passes chunks on while the key works, and counts usage.

        The key is checked also while no chunk comes. What ends a request
        that produced tokens never says that it did not run.
        """
        tokens = prompt_tokens = 0
        outcome = UsageOutcome.CANCELLED
        try:
            async for chunk in checked(
                self._generate(work),
                caller.check,
                interval_s=KEY_CHECK_INTERVAL_S,
            ):
                tokens += chunk.tokens
                turn.tokens = tokens
                prompt_tokens = chunk.prompt_tokens or prompt_tokens
                yield chunk
            outcome = UsageOutcome.RAN
        except RefusedError as exc:
            outcome = UsageOutcome.WAIVED
            raise _after_tokens(exc, tokens) from exc
        finally:
            if tokens:
                self._ctx.record_usage(
                    request_id=work.request_id,
                    client_account=caller.client_account or "",
                    service=work.service,
                    outcome=outcome,
                    prompt_tokens=prompt_tokens,
                    output_tokens=tokens,
                )

    async def _generate(
        self, work: GenerationTask
    ) -> AsyncGenerator[GenerateChunk, None]:
        async for _, chunk in self._dispatcher.generate(work):
            yield chunk

    async def _whole(
        self,
        req: web.Request,
        asked: CompletionRequest,
        chunks: AsyncIterator[GenerateChunk],
    ) -> web.Response:
        parts = []
        last: GenerateChunk | None = None
        tokens = 0
        async for chunk in chunks:
            parts.append(chunk.text)
            tokens += chunk.tokens
            last = chunk
        assert last is not None
        answer = self._completion(req, asked, "".join(parts), last)
        answer.usage = _usage(last, tokens)
        return json_response(answer)

    async def _stream(
        self,
        req: web.Request,
        asked: CompletionRequest,
        chunks: AsyncIterator[GenerateChunk],
    ) -> web.StreamResponse:
        resp = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": req[REQUEST_ID],
            }
        )
        tokens = 0
        first = await anext(chunks)
        await resp.prepare(req)
        try:
            await self._send(
                resp, self._completion(req, asked, first.text, first)
            )
            tokens += first.tokens
            async for chunk in chunks:
                tokens += chunk.tokens
                part = self._completion(req, asked, chunk.text, chunk)
                if chunk.done:
                    part.usage = _usage(chunk, tokens)
                await self._send(resp, part)
            await resp.write(b"data: [DONE]\n\n")
        except RefusedError as exc:
            self._ctx.metrics.count_refusal(exc.reason)
            body = error_body(exc, request_id=req[REQUEST_ID])
            await self._send(resp, body)
        await resp.write_eof()
        return resp

    @staticmethod
    async def _send(resp: web.StreamResponse, value: msgspec.Struct) -> None:
        await resp.write(b"data: " + msgspec.json.encode(value) + b"\n\n")

    def _completion(
        self,
        req: web.Request,
        asked: CompletionRequest,
        text: str,
        chunk: GenerateChunk,
    ) -> Completion:
        choice = CompletionChoice(
            index=0,
            text=text,
            finish_reason="length" if chunk.done else None,
            weight_version=chunk.version,
        )
        return Completion(
            id=req[REQUEST_ID],
            created=int(self._ctx.clock.now().timestamp()),
            model=asked.model,
            choices=[choice],
        )


def _only_prompt(asked: CompletionRequest) -> str:
    """Returns the prompt, which clients also send as a list of one.

    Raises:
        RefusedError: There is not exactly one.
    """
    if isinstance(asked.prompt, str):
        return asked.prompt
    if len(asked.prompt) != 1:
        raise RefusedError(Reason.MALFORMED, "prompt: exactly one is served")
    return asked.prompt[0]


def _after_tokens(exc: RefusedError, tokens: int) -> RefusedError:
    """Returns what ended a request, true to whether it ran.

    The check of a key says not run; an engine may have been at work already.
    """
    if tokens:
        ran = RunState.RAN
    elif exc.reason in KEY_REASONS:
        ran = RunState.UNKNOWN
    else:
        return exc
    return RefusedError(
        exc.reason, str(exc), ran=ran, retry_after_s=exc.retry_after_s
    )


def _usage(last: GenerateChunk, tokens: int) -> CompletionUsage:
    return CompletionUsage(
        prompt_tokens=last.prompt_tokens,
        completion_tokens=tokens,
        total_tokens=last.prompt_tokens + tokens,
    )
