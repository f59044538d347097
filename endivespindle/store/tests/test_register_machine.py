"""Stateful test of concurrent register changes and VM restarts.

Each call of an operator to the store is one step, so that operators
interleave at every await point. The invariants check the store's history and
the revisions that the VMs accepted.
"""

import types

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from endivespindle.core.ids import SeededIdSource
from endivespindle.core.tests.steps import count_step
from endivespindle.exceptions import (
    AnswerLostError,
    CheckError,
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from endivespindle.register.active_revision import ActiveRevision
from endivespindle.schema.generated.stored import RegisterRoot
from endivespindle.store.apply import (
    ROOT_KIND,
    apply_register,
    revision_name,
)
from endivespindle.store.object_store import ObjectStore, StoredObject

_VMS = st.integers(0, 3)
_EXAMPLES_FACTOR = 2
_OPERATORS = st.integers(0, 1)


@types.coroutine
def _next_fault():
    return (yield)


class _SteppedStore(ObjectStore):
    """A store that suspends each call until a step resumes it.

    The step passes the fault to inject; an empty string is none.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.roots: list[RegisterRoot] = []
        self.late_writes: list[tuple[str, str, bytes, int]] = []
        self.version = 0

    async def get(self, *, kind, name):
        if await _next_fault() == "down":
            raise PlatformUnavailableError("down")
        return self.objects.get((kind, name))

    async def put(self, *, kind, name, value, expect_version):
        fault = await _next_fault()
        if fault == "down":
            raise PlatformUnavailableError("down")
        if fault == "late":
            self.late_writes.append((kind, name, value, expect_version))
            raise AnswerLostError("lost")
        version = self.write(kind, name, value, expect_version)
        if fault == "lost":
            raise AnswerLostError("lost")
        return version

    def write(self, kind, name, value, expect_version) -> int:
        old = self.objects.get((kind, name))
        if (old.version if old else 0) != expect_version:
            raise ConflictError(name)
        self.version += 1
        self.objects[kind, name] = StoredObject(
            kind=kind, name=name, version=self.version, value=value
        )
        if kind == ROOT_KIND:
            self.roots.append(msgspec.json.decode(value, type=RegisterRoot))
        return self.version

    async def list_objects(self, *, kind, prefix=""):
        raise NotImplementedError

    async def delete(self, *, kind, name, expect_version):
        raise NotImplementedError

    async def watch(self, *, kind, after, wait_s):
        raise NotImplementedError


def _document(content: int) -> dict:
    return {
        "data_centres": [{"name": "d"}],
        "services": [{"name": f"s{content}", "kind": "plain"}],
        "backend_servers": [],
        "client_accounts": [{"name": "a", "share": 1.0 + content}],
        "routes": [],
    }


class RegisterMachine(RuleBasedStateMachine):
    """Two operators, four VMs without disks, one store."""

    @initialize()
    def start(self) -> None:
        self.store = _SteppedStore()
        self.ids = SeededIdSource(seed=1)
        self.running_operators: dict[int, tuple] = {}
        self.content_count = 0
        self.vms = [ActiveRevision() for _ in range(4)]
        self.pending_reads: dict[int, tuple[RegisterRoot, bytes]] = {}
        self.seen_revisions: list[list[int]] = [[0] for _ in self.vms]
        self.revision_bodies: dict[int, bytes] = {}

    @rule(operator=_OPERATORS, behind=st.sampled_from([None, 0, 1, 2]))
    def operator_starts(self, operator: int, behind: int | None) -> None:
        count_step()
        if operator in self.running_operators:
            return
        self.content_count += 1
        current = self.store.roots[-1].revision if self.store.roots else 0
        expect = None if behind is None else max(0, current - behind)
        coro = apply_register(
            self.store,
            document=_document(self.content_count),
            ids=self.ids,
            expect_revision=expect,
        )
        coro.send(None)
        self.running_operators[operator] = (coro, self.content_count, expect)

    @precondition(lambda self: self.running_operators)
    @rule(
        operator=_OPERATORS,
        fault=st.sampled_from(["", "", "", "", "lost", "late", "down"]),
        steps=st.integers(1, 6),
    )
    def operator_steps(self, operator: int, fault: str, steps: int) -> None:
        for _ in range(steps):
            count_step()
            if operator not in self.running_operators:
                return
            coro, content, expect = self.running_operators[operator]
            try:
                coro.send(fault)
            except StopIteration as done:
                del self.running_operators[operator]
                self._check_accepted(done.value, content)
            except CheckError as exc:
                del self.running_operators[operator]
                self._check_refused(exc, content, expect)
            except PlatformError:
                del self.running_operators[operator]

    @rule(behind=st.sampled_from([None, None, 0, 1]))
    def operator_completes_change(self, behind: int | None) -> None:
        """Runs all steps without a fault, to reach deep states."""
        if 0 not in self.running_operators:
            self.operator_starts(0, behind)
        self.operator_steps(0, "", 12)

    def _body_of(self, root: RegisterRoot) -> bytes:
        name = revision_name(root)
        return self.store.objects["register-revision", name].value

    def _check_accepted(self, root: RegisterRoot, content: int) -> None:
        stored = [r for r in self.store.roots if r.revision == root.revision]
        assert [r.digest for r in stored] == [root.digest]
        assert f"s{content}".encode() in self._body_of(root)

    def _check_refused(self, exc, content: int, expect: int | None) -> None:
        """A refused revision is never stored; the error names the changes."""
        texts = [self._body_of(root) for root in self.store.roots]
        assert not any(f'"s{content}"'.encode() in text for text in texts)
        messages = [finding.message for finding in exc.findings]
        change_messages = [
            m for m in messages if m.startswith("since then: services/s")
        ]
        assert change_messages or expect in (None, 0), messages

    @precondition(lambda self: self.store.late_writes)
    @rule()
    def late_write_arrives(self) -> None:
        count_step()
        kind, name, value, expect_version = self.store.late_writes.pop(0)
        try:
            self.store.write(kind, name, value, expect_version)
        except ConflictError:
            return

    @precondition(lambda self: self.store.roots)
    @rule(vm=_VMS)
    def vm_reads(self, vm: int) -> None:
        count_step()
        root = self.store.roots[-1]
        self.pending_reads[vm] = (root, self._body_of(root))

    @rule(vm=_VMS, is_corrupted=st.booleans())
    def vm_updates_from_read(self, vm: int, is_corrupted: bool) -> None:
        count_step()
        if vm in self.pending_reads:
            root, body = self.pending_reads.pop(vm)
            accepted = self.vms[vm].apply_if_newer(
                root=root, body=body[is_corrupted:]
            )
            assert not (accepted and is_corrupted)

    @rule(vm=_VMS, peer=_VMS)
    def vm_updates_from_peer(self, vm: int, peer: int) -> None:
        count_step()
        other = self.vms[peer]
        if other.root is not None:
            self.vms[vm].apply_if_newer(root=other.root, body=other.body)

    @rule(vm=_VMS)
    def vm_restarts_without_disk(self, vm: int) -> None:
        count_step()
        self.vms[vm] = ActiveRevision()
        self.pending_reads.pop(vm, None)
        self.seen_revisions[vm] = [0]
        assert self.vms[vm].view is None

    @invariant()
    def revisions_never_decrease_on_a_vm(self) -> None:
        for vm, seen in zip(
            getattr(self, "vms", []),
            getattr(self, "seen_revisions", []),
            strict=True,
        ):
            assert vm.revision >= seen[-1]
            seen.append(vm.revision)

    @invariant()
    def revision_has_same_content_on_all_vms(self) -> None:
        for vm in getattr(self, "vms", []):
            if vm.root is not None:
                body = self.revision_bodies.setdefault(vm.revision, vm.body)
                assert body == vm.body
                assert vm.body == self._body_of(vm.root)
                assert vm.view.revision == vm.root.revision

    @invariant()
    def root_revisions_are_consecutive(self) -> None:
        if hasattr(self, "store"):
            numbers = [root.revision for root in self.store.roots]
            assert numbers == list(range(1, len(numbers) + 1))


TestRegisterMachine = RegisterMachine.TestCase
TestRegisterMachine.settings = settings(
    max_examples=_EXAMPLES_FACTOR * settings().max_examples
)
