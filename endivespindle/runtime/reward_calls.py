"""Makes the reward calls of a batch job's texts."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from endivespindle.batch.job import ItemState
from endivespindle.batch.submission import ScoreCall
from endivespindle.core.clock import Clock
from endivespindle.exceptions import RefusedError
from endivespindle.runtime.forwarding import Forwarder, ForwardPlan
from endivespindle.runtime.owned_job import OwnedJob
from endivespindle.runtime.telemetry import DecisionLog
from endivespindle.serving.calls import ServerCall
from endivespindle.serving.configuration import Route
from endivespindle.serving.in_force import ConfigInForce

__all__ = ["RewardCaller"]

# Longest deadline of one attempt, and pause between two.
_DEADLINE_S = 2.0
_PAUSE_S = 0.2
_SERVER_FAILED = 500


class RewardCaller:
    """Gets the scores of texts.

    Args:
        forwarder: Sends the calls.
        config: Configuration in force.
        confirm: Makes sure that this node still owns a job.
        held_s: Age of that confirmation at which a call must have arrived.
        clock: Clock of this VM.
        rng: Source of draws.
        log: Where decisions are written.
    """

    __slots__ = (
        "_clock",
        "_config",
        "_confirm",
        "_forwarder",
        "_held_s",
        "_log",
        "_rng",
    )

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        config: ConfigInForce,
        confirm: Callable[[OwnedJob], Awaitable[bool]],
        held_s: float,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ):
        self._forwarder = forwarder
        self._config = config
        self._confirm = confirm
        self._held_s = held_s
        self._clock = clock
        self._rng = rng
        self._log = log

    async def score(self, job: OwnedJob, state: ItemState) -> None:
        """Calls until the call is answered, then has the item listed.

        An item whose job cannot be confirmed keeps its text and is looked at
        again; one whose call failed too often is given up.
        """
        reward = state.item.score
        if reward is None:
            self._complete(job, state, "")
            return
        begun_s = self._clock.monotonic()
        while True:
            if not await self._confirm(job) or not job.may_run(state):
                state.not_before_s = self._clock.monotonic() + _PAUSE_S
                return
            route = self._config.route(host=reward.host, path=reward.path)
            if route is not None:
                score = await self._attempt(job, state, reward, route)
                if score is not None:
                    self._complete(job, state, score)
                    return
                bound = max(
                    job.state.submission.max_attempts, route.max_attempts
                )
                if state.reward_failures >= bound:
                    job.terminate_item(state, reason="reward_failed", log=self._log)
                    return
            elif self._config.confirmed_since(begun_s):
                job.terminate_item(state, reason="reward_route_gone", log=self._log)
                return
            else:
                # The route may be newer than the configuration held.
                await asyncio.sleep(_PAUSE_S)
            if job.state.is_over(age_s=job.min_age_s(self._clock)):
                job.terminate_item(state, reason="max_wait", log=self._log)
                return

    def _complete(self, job: OwnedJob, state: ItemState, score: str) -> None:
        job.state.completed(state, score=score)
        job.flush_needed.set()

    async def _attempt(
        self,
        job: OwnedJob,
        state: ItemState,
        reward: ScoreCall,
        route: Route,
    ) -> str | None:
        """Makes one call; returns its signature, or None after a pause."""
        now_s = self._clock.monotonic()
        left_s = self._held_s - (now_s - job.confirmed_s)
        call = ServerCall(
            request_id=reward.call_id,
            method="POST",
            target=reward.path,
            host=reward.host,
            headers=(),
            body=reward.body,
        )
        plan = ForwardPlan(
            service=self._config.choose_service(route, self._rng),
            may_repeat=True,
            max_attempts=1,
            target_latency_s=route.target_latency_s,
            deadline_s=now_s + min(_DEADLINE_S, left_s),
        )
        try:
            answer = await self._forwarder.forward(call, plan)
        except RefusedError as exc:
            await asyncio.sleep(max(_PAUSE_S, exc.retry_after_s or 0.0))
            return None
        if 200 <= answer.head.status < 300:
            return answer.head.signature
        state.reward_failures += answer.head.status == _SERVER_FAILED
        await asyncio.sleep(_PAUSE_S)
        return None
