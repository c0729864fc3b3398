"""Specification of claims: a non-idempotent request runs at most once."""

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["CLAIMS", "Defect", "State", "build"]

NODES = (0, 1)
MAX_ATTEMPTS = 2
MAX_CLOCK = 2
MAX_BOOTS = 2
MAX_SENDS = 2
NOT_RUN, DONE, UNKNOWN = "not_run", "done", "unknown"


class Defect(Enum):
    """Faults injected into the broken variants."""

    EVERY_CLAIM = "every claim is accepted, not only the first"
    NO_PROOF = "a second attempt is dispatched without proof"
    NO_WORKER_DEADLINE = "the worker accepts starts after their deadline"
    NO_BOOT_CHECK = "the worker accepts starts for an earlier boot"
    RESEND_REFUSED = "the refusal of a start that was sent twice is taken as proof"
    GUESS_NOT_RUN = "the holder reports 'not run' after a start without an answer"
    SEND_FIRST = "the start is sent before the dispatch is in the log"
    ASK_OTHER_BOOT = "a rebooted worker that does not know the task is taken as proof"


class Row(NamedTuple):
    """The claim in the tables."""

    holder: int | None = None
    attempt: int = 0
    boot: int = 0
    start_by: int = 0
    outcome: str | None = None


class Start(NamedTuple):
    """A start in flight to the worker."""

    attempt: int
    boot: int
    start_by: int


class Node(NamedTuple):
    """A node and its knowledge of its own attempt.

    :param send_count: number of starts sent for the attempt.
    :param proof: the last attempt that is proved never to have run.
    """

    alive: bool = True
    attempt: int = 0
    send_count: int = 0
    proof: int = 0


class Worker(NamedTuple):
    """The worker.

    :param seen: the highest attempt that was started in the current boot.
    :param runs: number of runs in all boots.
    """

    boot: int = 1
    clock: int = 0
    seen: int = 0
    runs: int = 0


class State(NamedTuple):
    """State of the model.

    :param gone: whether node 0 is proved gone.
    :param starts: starts in flight.
    :param reported_not_run: whether "not run" was reported to the caller.
    """

    row: Row = Row()
    nodes: tuple[Node, Node] = (Node(), Node())
    gone: bool = False
    starts: frozenset = frozenset()
    worker: Worker = Worker()
    reported_not_run: bool = False


class _Model:
    """Steps and invariants of one variant.

    Two nodes claim one request in the log. The request runs at most once, and "not
    run" is reported only if it did not run. The holder records each dispatch before
    it sends the start. The worker may refuse or run the start, or reboot; its answer
    may be lost. A start may be sent twice or arrive late. Once the holder is proved
    gone, the other node takes the claim over and queries the worker. Records may be
    appended late; the fold decides on them when they are appended.
    """

    def __init__(self, broken: Defect | None):
        self.broken = broken

    def with_node(self, s: State, me: int, **changes) -> State:
        nodes = list(s.nodes)
        nodes[me] = nodes[me]._replace(**changes)
        return s._replace(nodes=tuple(nodes))

    def claim_steps(self, s: State, me: int):
        row = s.row
        free = row.holder is None or (row.holder == 0 and s.gone)
        if free and row.outcome is None and row.holder != me:
            taken = s._replace(row=row._replace(holder=me))
            yield f"{me} claims", taken

    def dispatch_steps(self, s: State, me: int, node: Node):
        row = s.row
        open_claim = row.holder == me and row.outcome is None
        proved = row.attempt == 0 or node.proof >= row.attempt
        proved = proved or self.broken is Defect.NO_PROOF
        if self.broken is Defect.EVERY_CLAIM:
            open_claim, proved = True, proved or node.attempt == 0
        if open_claim and proved and row.attempt < MAX_ATTEMPTS:
            start_by = min(s.worker.clock + 1, MAX_CLOCK)
            new = Row(me, row.attempt + 1, s.worker.boot, start_by)
            if self.broken is Defect.SEND_FIRST:
                start = Start(new.attempt, new.boot, new.start_by)
                yield f"{me} sends early", s._replace(starts=s.starts | {start})
            recorded = s._replace(row=new)
            yield (
                f"{me} dispatches {new.attempt}",
                self.with_node(recorded, me, attempt=new.attempt, send_count=0),
            )

    def send_steps(self, s: State, me: int, node: Node):
        may_send = node.attempt > 0 and node.attempt > node.proof
        if may_send and node.send_count < MAX_SENDS and node.attempt == s.row.attempt:
            start = Start(s.row.attempt, s.row.boot, s.row.start_by)
            sent = s._replace(starts=s.starts | {start})
            yield (
                f"{me} sends",
                self.with_node(sent, me, send_count=node.send_count + 1),
            )

    def outcome_steps(self, s: State, me: int, node: Node):
        if s.row.holder != me or s.row.outcome is not None:
            return
        row = s.row
        proved = row.attempt == 0 or node.proof >= row.attempt
        if proved or self.broken is Defect.GUESS_NOT_RUN:
            ended = s._replace(row=row._replace(outcome=NOT_RUN), reported_not_run=True)
            yield f"{me} says not run", ended
        if not proved:
            ended = s._replace(row=row._replace(outcome=UNKNOWN))
            yield f"{me} says unknown", ended
            if s.worker.seen >= row.attempt and s.worker.boot == row.boot:
                ended = s._replace(row=row._replace(outcome=DONE))
                yield f"{me} reads outcome", ended

    def query_steps(self, s: State, me: int):
        row, worker = s.row, s.worker
        if row.holder != me or row.attempt == 0:
            return
        same_boot = worker.boot == row.boot or self.broken is Defect.ASK_OTHER_BOOT
        late = worker.clock > row.start_by or worker.boot != row.boot
        if same_boot and late and worker.seen < row.attempt:
            yield (
                f"{me} learns of missed start",
                self.with_node(s, me, proof=row.attempt),
            )

    def is_refused(self, s: State, start: Start) -> bool:
        late = s.worker.clock > start.start_by
        other_boot = s.worker.boot != start.boot
        if self.broken is Defect.NO_BOOT_CHECK:
            return start.attempt < s.worker.seen or (late and not other_boot)
        late = late and self.broken is not Defect.NO_WORKER_DEADLINE
        return late or other_boot or start.attempt < s.worker.seen

    def delivery_steps(self, s: State):
        for start in s.starts:
            left = s._replace(starts=s.starts - {start})
            if not self.is_refused(s, start):
                yield "worker starts", self.run(left, start)
                continue
            yield "refusal is lost", left
            for me, node in enumerate(s.nodes):
                once = node.send_count == 1 or self.broken is Defect.RESEND_REFUSED
                if node.alive and node.attempt == start.attempt and once:
                    yield (
                        f"{me} is refused",
                        self.with_node(left, me, proof=start.attempt),
                    )

    def run(self, s: State, start: Start) -> State:
        if s.worker.seen == start.attempt:
            return s
        worker = s.worker._replace(seen=start.attempt, runs=s.worker.runs + 1)
        return s._replace(worker=worker)

    def environment_steps(self, s: State):
        worker = s.worker
        if worker.clock <= MAX_CLOCK:
            yield "tick", s._replace(worker=worker._replace(clock=worker.clock + 1))
        if worker.boot < MAX_BOOTS:
            reboot = Worker(boot=worker.boot + 1, runs=worker.runs)
            yield "worker reboots", s._replace(worker=reboot)
        if s.nodes[0].alive:
            yield "0 dies", self.with_node(s, 0, alive=False)
        elif not s.gone:
            yield "0 is proved gone", s._replace(gone=True)

    def transitions(self, s: State):
        steps = [*self.delivery_steps(s), *self.environment_steps(s)]
        for me, node in enumerate(s.nodes):
            if node.alive:
                steps.extend(self.claim_steps(s, me))
                steps.extend(self.dispatch_steps(s, me, node))
                steps.extend(self.send_steps(s, me, node))
                steps.extend(self.outcome_steps(s, me, node))
                steps.extend(self.query_steps(s, me))
        return steps

    def protocol(self) -> Protocol:
        return Protocol(
            name="claims",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=self.transitions,
            invariants={
                "at_most_once": lambda d: d["worker"].runs <= 1,
                "not_run_is_true": lambda d: (
                    not (d["reported_not_run"] and d["worker"].runs)
                ),
            },
        )


def build(broken: Defect | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    return _Model(broken).protocol()


CLAIMS = Mechanism(
    name="claims",
    bounds=f"2 nodes, 1 request, {MAX_ATTEMPTS} attempts sent up to {MAX_SENDS} times,"
    f" {MAX_BOOTS} boots of the worker, clock to {MAX_CLOCK + 1}",
    build=build,
    broken={
        Defect.EVERY_CLAIM: "at_most_once",
        Defect.NO_PROOF: "at_most_once",
        Defect.NO_WORKER_DEADLINE: "not_run_is_true",
        Defect.NO_BOOT_CHECK: "at_most_once",
        Defect.RESEND_REFUSED: "at_most_once",
        Defect.GUESS_NOT_RUN: "not_run_is_true",
        Defect.SEND_FIRST: "at_most_once",
        Defect.ASK_OTHER_BOOT: "at_most_once",
    },
)
