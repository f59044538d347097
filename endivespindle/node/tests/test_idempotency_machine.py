"""Callers repeat requests on several VMs, which crash at any await."""

import types

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from endivespindle.backends.interfaces import ServiceResponse
from endivespindle.core.ids import SeededIdSource
from endivespindle.core.reasons import Reason
from endivespindle.core.tests.steps import count_step
from endivespindle.exceptions import (
    AnswerLostError,
    ConflictError,
    PlatformUnavailableError,
    RefusedError,
)
from endivespindle.node.idempotency import IdempotencyKeys
from endivespindle.routing.idempotency import request_digest
from endivespindle.schema.generated.caller import RunState
from endivespindle.store.object_store import ObjectStore, StoredObject

KEYS = ("k1", "k2")
BODIES = (b"one", b"two")
STORE_FAULTS = ("none", "none", "none", "lost", "lost_before", "down")
RUN_FAULTS = ("none", "refused", "cut")


@types.coroutine
def _pause():
    """Hands control to the machine, which sends back a fault."""
    return (yield)


class _Store(ObjectStore):
    """One store for all VMs; each call is a point of interleaving."""

    def __init__(self):
        self.objects: dict[str, StoredObject] = {}
        self.version = 0

    async def get(self, *, kind, name):
        if await _pause() == "down":
            raise PlatformUnavailableError("down")
        return self.objects.get(name)

    async def put(self, *, kind, name, value, expect_version):
        fault = await _pause()
        if fault == "down":
            raise PlatformUnavailableError("down")
        if fault == "lost_before":
            raise AnswerLostError("lost")
        held = self.objects.get(name)
        if (held.version if held else 0) != expect_version:
            raise ConflictError("moved")
        self.version += 1
        self.objects[name] = StoredObject(
            kind=kind, name=name, version=self.version, value=value
        )
        if fault == "lost":
            raise AnswerLostError("lost")
        return self.version

    async def delete(self, *, kind, name, expect_version):
        raise NotImplementedError

    async def list_objects(self, *, kind, prefix=""):
        raise NotImplementedError

    async def watch(self, *, kind, after, wait_s):
        raise NotImplementedError


class _Attempt:
    """One caller's request on one VM."""

    def __init__(self, key, body, coro):
        self.key = key
        self.body = body
        self.coro = coro
        self.ran = False


class IdempotencyMachine(RuleBasedStateMachine):
    """The backend server counts runs; the callers keep their answers."""

    def __init__(self):
        super().__init__()
        self.store = _Store()
        self.ids = SeededIdSource(seed=3)
        self.open: list[_Attempt] = []
        self.runs: dict[str, list[bytes]] = {key: [] for key in KEYS}
        self.answers: list[tuple[str, bytes, bytes]] = []
        self.lies: list[str] = []

    @rule(key=st.sampled_from(KEYS), body=st.sampled_from(BODIES))
    def arrive(self, key, body):
        count_step()
        keys = IdempotencyKeys(
            store=self.store,
            ids=self.ids,
            now=lambda: 1000.0,
            sleep=self._sleep,
        )
        attempt = _Attempt(key, body, None)

        async def call():
            fault = await _pause()
            if fault == "refused":
                raise RefusedError(Reason.BACKEND_UNREACHABLE)
            attempt.ran = True
            self.runs[key].append(body)
            if fault == "cut":
                raise RefusedError(Reason.BACKEND_LOST)
            text = body + b"/%d" % len(self.runs[key])
            return ServiceResponse(status=200, content_type="t", body=text)

        attempt.coro = keys.run(
            name=key,
            digest=request_digest(method="POST", path="/", body=body),
            expiry_s=60.0,
            call=call,
        )
        attempt.coro.send(None)
        self.open.append(attempt)

    async def _sleep(self, seconds):
        await _pause()

    @rule(
        pick=st.integers(0, 1000),
        faults=st.lists(
            st.sampled_from(STORE_FAULTS + RUN_FAULTS), min_size=1, max_size=8
        ),
    )
    def step(self, pick, faults):
        if not self.open:
            return
        attempt = self.open[pick % len(self.open)]
        for fault in faults:
            if not self._advance(attempt, fault):
                return

    @rule(
        key=st.sampled_from(KEYS),
        body=st.sampled_from(BODIES),
        run_fault=st.sampled_from(RUN_FAULTS),
        claim_fault=st.sampled_from(STORE_FAULTS),
        end_fault=st.sampled_from(STORE_FAULTS),
        stop_after=st.integers(1, 8),
    )
    def carry_through(
        self, key, body, run_fault, claim_fault, end_fault, stop_after
    ):
        """One request gets far, with a fault at each kind of call."""
        self.arrive(key, body)
        attempt = self.open[-1]
        faults = ["none", claim_fault, "none", run_fault, end_fault]
        if claim_fault == "none":
            faults.remove("none")
        for fault in (faults + ["none"] * 4)[:stop_after]:
            if not self._advance(attempt, fault):
                return

    def _advance(self, attempt, fault):
        """Lets one request go on to its next await, or to its end."""
        count_step()
        try:
            attempt.coro.send(fault)
        except StopIteration as stop:
            body = stop.value.body
            self.answers.append((attempt.key, attempt.body, body))
        except RefusedError as exc:
            if exc.ran is RunState.NOT_RUN and attempt.ran:
                self.lies.append(attempt.key)
        else:
            return True
        self.open.remove(attempt)
        return False

    @rule(pick=st.integers(0, 1000))
    def crash(self, pick):
        count_step()
        if self.open:
            self.open.pop(pick % len(self.open)).coro.close()

    @invariant()
    def a_key_runs_at_most_once(self):
        assert all(len(runs) <= 1 for runs in self.runs.values())

    @invariant()
    def every_answer_is_that_of_the_one_run(self):
        for key, body, answer in self.answers:
            assert answer == body + b"/1"
            assert self.runs[key] == [body]

    @invariant()
    def not_run_is_true(self):
        assert not self.lies


TestIdempotency = IdempotencyMachine.TestCase
