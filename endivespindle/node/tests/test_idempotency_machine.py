"""Stateful test of idempotency keys over several VMs.

Callers send requests with the same keys to several VMs. A VM may crash at any
await, and calls to the store or to the backend server may fail.
"""

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
CALL_FAULTS = ("none", "refused", "cut")


@types.coroutine
def _wait_for_fault():
    """Yields to the state machine, which sends back a fault."""
    return (yield)


class _FaultyStore(ObjectStore):
    """Store of all VMs; each call may be interleaved with others."""

    def __init__(self):
        self.objects: dict[str, StoredObject] = {}
        self.version = 0

    async def get(self, *, kind, name):
        if await _wait_for_fault() == "down":
            raise PlatformUnavailableError("down")
        return self.objects.get(name)

    async def put(self, *, kind, name, value, expect_version):
        fault = await _wait_for_fault()
        if fault == "down":
            raise PlatformUnavailableError("down")
        if fault == "lost_before":
            raise AnswerLostError("lost")
        stored = self.objects.get(name)
        if (stored.version if stored else 0) != expect_version:
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


class _Request:
    """A request of a caller, on one VM."""

    def __init__(self, key, body, coro):
        self.key = key
        self.body = body
        self.coro = coro
        self.has_run = False


class IdempotencyMachine(RuleBasedStateMachine):
    """Records the runs at the backend server and the responses to callers."""

    def __init__(self):
        super().__init__()
        self.store = _FaultyStore()
        self.ids = SeededIdSource(seed=3)
        self.open_requests: list[_Request] = []
        self.runs_by_key: dict[str, list[bytes]] = {key: [] for key in KEYS}
        self.responses: list[tuple[str, bytes, bytes]] = []
        self.false_not_run: list[str] = []

    @rule(key=st.sampled_from(KEYS), body=st.sampled_from(BODIES))
    def send_request(self, key, body):
        count_step()
        keys = IdempotencyKeys(
            store=self.store,
            ids=self.ids,
            now=lambda: 1000.0,
            sleep=self._sleep,
        )
        request = _Request(key, body, None)

        async def call():
            fault = await _wait_for_fault()
            if fault == "refused":
                raise RefusedError(Reason.BACKEND_UNREACHABLE)
            request.has_run = True
            self.runs_by_key[key].append(body)
            if fault == "cut":
                raise RefusedError(Reason.BACKEND_LOST)
            output = body + b"/%d" % len(self.runs_by_key[key])
            return ServiceResponse(status=200, content_type="t", body=output)

        request.coro = keys.run(
            name=key,
            digest=request_digest(method="POST", path="/", body=body),
            expiry_s=60.0,
            call=call,
        )
        request.coro.send(None)
        self.open_requests.append(request)

    async def _sleep(self, seconds):
        await _wait_for_fault()

    @rule(
        index=st.integers(0, 1000),
        faults=st.lists(
            st.sampled_from(STORE_FAULTS + CALL_FAULTS), min_size=1, max_size=8
        ),
    )
    def step(self, index, faults):
        if not self.open_requests:
            return
        request = self.open_requests[index % len(self.open_requests)]
        for fault in faults:
            if not self._advance(request, fault):
                return

    @rule(
        key=st.sampled_from(KEYS),
        body=st.sampled_from(BODIES),
        call_fault=st.sampled_from(CALL_FAULTS),
        claim_fault=st.sampled_from(STORE_FAULTS),
        outcome_fault=st.sampled_from(STORE_FAULTS),
        max_steps=st.integers(1, 8),
    )
    def send_and_advance(
        self, key, body, call_fault, claim_fault, outcome_fault, max_steps
    ):
        """Sends a request and resumes it, with a fault at each call."""
        self.send_request(key, body)
        request = self.open_requests[-1]
        faults = ["none", claim_fault, "none", call_fault, outcome_fault]
        if claim_fault == "none":
            faults.remove("none")
        for fault in (faults + ["none"] * 4)[:max_steps]:
            if not self._advance(request, fault):
                return

    def _advance(self, request, fault):
        """Resumes a request until its next await or its end.

        Returns:
            Whether the request is still open.
        """
        count_step()
        try:
            request.coro.send(fault)
        except StopIteration as stop:
            body = stop.value.body
            self.responses.append((request.key, request.body, body))
        except RefusedError as exc:
            if exc.ran is RunState.NOT_RUN and request.has_run:
                self.false_not_run.append(request.key)
        else:
            return True
        self.open_requests.remove(request)
        return False

    @rule(index=st.integers(0, 1000))
    def crash(self, index):
        count_step()
        if self.open_requests:
            self.open_requests.pop(index % len(self.open_requests)).coro.close()

    @invariant()
    def each_key_runs_at_most_once(self):
        assert all(len(runs) <= 1 for runs in self.runs_by_key.values())

    @invariant()
    def responses_are_those_of_the_only_run(self):
        for key, body, response in self.responses:
            assert response == body + b"/1"
            assert self.runs_by_key[key] == [body]

    @invariant()
    def not_run_is_reported_correctly(self):
        assert not self.false_not_run


TestIdempotency = IdempotencyMachine.TestCase
