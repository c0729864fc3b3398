"""Base of the specifications: mechanisms, their variants and model checking."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from minicheck import Protocol, check_safety

__all__ = ["Finding", "Mechanism", "check"]

MAX_STATES = 400_000


@dataclass(frozen=True)
class Mechanism:
    """A mechanism as designed, with broken variants that the check must refute.

    The broken variants show that the invariants detect the faults which the
    design is meant to prevent.

    :param bounds: description of the bounds up to which the check is exhaustive.
    :param build: returns the protocol of a variant, or of the design for ``None``.
    :param broken: each broken variant with the invariant that it violates.
    """

    name: str
    bounds: str
    build: Callable[[Enum | None], Protocol]
    broken: dict[Enum, str]


@dataclass(frozen=True)
class Finding:
    """Result of model-checking one variant.

    :param states: number of states that were reached.
    :param exhaustive: whether all reachable states were reached.
    :param violated: each violated invariant, with the labels of a shortest
        counterexample.
    """

    states: int
    exhaustive: bool
    violated: dict[str, tuple[str, ...]]


def check(
    mechanism: Mechanism, variant: Enum | None = None, max_states: int = MAX_STATES
) -> Finding:
    """Search the states of one variant for violations of its invariants.

    The design is searched exhaustively. A broken variant is searched until the
    invariant that it is expected to violate is violated.

    :param max_states: number of states after which the search is given up.
    """
    protocol = mechanism.build(variant)
    if variant is not None:
        protocol = _until_violated(protocol, mechanism.broken[variant])
    answer = check_safety(protocol, max_states)
    violated = {
        name: tuple(step["label"] for step in found["counterexample"][1:])
        for name, found in answer["properties"].items()
        if found["holds"] is False
    }
    exhaustive = answer["exhaustive"] and variant is None
    return Finding(answer["reachable_states"], exhaustive, violated)


def _until_violated(protocol: Protocol, invariant: str) -> Protocol:
    """Return the protocol without further steps once the invariant is violated."""
    holds = protocol.invariants[invariant]
    found = False

    def transitions(state: tuple):
        nonlocal found
        found = found or not holds(protocol.d(state))
        return [] if found else protocol.transitions(state)

    return replace(protocol, transitions=transitions)
