"""Makes the reward calls for the completions of batch items."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from endivespindle.batch.job import ItemState
from endivespindle.batch.submission import RewardCall
from endivespindle.core.clock import Clock
from endivespindle.exceptions import RefusedError
from endivespindle.runtime.forward_plan import ForwardPlan
from endivespindle.runtime.forwarding import Forwarder
from endivespindle.runtime.owned_job import OwnedJob
from endivespindle.runtime.telemetry import EventLog
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.calls import ServerCall
from endivespindle.serving.configuration import Route

__all__ = ["RewardCaller"]

# Longest deadline of one attempt, and pause between two attempts.
_ATTEMPT_TIMEOUT_S = 2.0
_RETRY_PAUSE_S = 0.2
# Pause before the route of a call is looked up again.
_ROUTE_PAUSE_S = 0.5
_HTTP_INTERNAL_ERROR = 500


class RewardCaller:
    """Obtains the scores of completions.

    Args:
        forwarder: Sends the calls.
        config: Active configuration.
        confirm: Confirms that this node still owns a job.
        cancel_age_s: Age of that confirmation, in seconds, by which a call
            must have completed.
        clock: Clock of this VM.
        rng: Random source for the choice of a service.
        log: Decision log.
    """

    __slots__ = (
        "_cancel_age_s",
        "_clock",
        "_config",
        "_confirm",
        "_forwarder",
        "_log",
        "_rng",
    )

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        config: ActiveConfig,
        confirm: Callable[[OwnedJob], Awaitable[bool]],
        cancel_age_s: float,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
    ):
        self._forwarder = forwarder
        self._config = config
        self._confirm = confirm
        self._cancel_age_s = cancel_age_s
        self._clock = clock
        self._rng = rng
        self._log = log

    async def score(self, job: OwnedJob, state: ItemState) -> None:
        """Retries an item's reward call until it succeeds, then completes it.

        Returns early if ownership of the job is not confirmed, or the call has
        no route: the item keeps its completion and is retried later. Terminates
        the item if the call failed too often or the job has timed out.
        """
        reward = state.item.score
        if reward is None:
            self._record_score(job, state, "")
            return
        while True:
            if not await self._confirm(job) or not job.may_run(state):
                state.not_before_s = self._clock.monotonic() + _RETRY_PAUSE_S
                return
            route = self._config.route(host=reward.host, path=reward.path)
            if route is None:
                self._wait_for_route(job, state, reward)
                return
            score = await self._attempt(job, state, reward, route)
            if score is not None:
                self._record_score(job, state, score)
                return
            max_attempts = max(
                job.state.submission.max_attempts, route.max_attempts
            )
            if state.reward_failures >= max_attempts:
                job.terminate_item(state, reason="reward_failed", log=self._log)
                return
            if job.state.has_timed_out(age_s=job.min_age_s(self._clock)):
                job.terminate_item(state, reason="max_wait", log=self._log)
                return

    def _wait_for_route(
        self, job: OwnedJob, state: ItemState, reward: RewardCall
    ) -> None:
        """Lets an item wait for a configuration with its reward call's route.

        The route may be newer than the active configuration, or removed by
        mistake and added again.
        """
        state.not_before_s = self._clock.monotonic() + _ROUTE_PAUSE_S
        self._log.event(
            "reward_route_missing",
            request_id=state.item.item_id,
            job_id=job.job_id,
            host=reward.host,
            config=self._config.version,
        )

    def _record_score(
        self, job: OwnedJob, state: ItemState, score: str
    ) -> None:
        job.state.complete_item(state, score=score)
        job.flush_needed.set()

    async def _attempt(
        self,
        job: OwnedJob,
        state: ItemState,
        reward: RewardCall,
        route: Route,
    ) -> str | None:
        """Makes one call.

        Returns:
            The score, or None if the call failed; a pause is included then.
        """
        now_s = self._clock.monotonic()
        remaining_s = self._cancel_age_s - (now_s - job.confirmed_s)
        call = ServerCall(
            request_id=reward.call_id,
            method="POST",
            target=reward.path,
            host=reward.host,
            headers=(),
            body=reward.body,
        )
        plan = ForwardPlan(
            route=route.name,
            service=self._config.choose_service(route, self._rng),
            may_repeat=True,
            is_owed=True,
            max_attempts=1,
            target_latency_s=route.target_latency_s,
            deadline_s=now_s + min(_ATTEMPT_TIMEOUT_S, remaining_s),
        )
        try:
            resp = await self._forwarder.forward(call, plan)
        except RefusedError as exc:
            await asyncio.sleep(max(_RETRY_PAUSE_S, exc.retry_after_s or 0.0))
            return None
        if 200 <= resp.head.status < 300:
            return resp.head.signature
        state.reward_failures += resp.head.status == _HTTP_INTERNAL_ERROR
        await asyncio.sleep(_RETRY_PAUSE_S)
        return None
