"""Model-check all specifications and print the results: ``python -m spec``."""

import sys

from spec.base import Finding, check
from spec.claims import CLAIMS
from spec.coordinator import COORDINATOR
from spec.ends import ENDS, ENDS_IN_TIME, ENDS_PER_INCARNATION
from spec.escrow import ESCROW
from spec.evacuation import EVACUATION
from spec.fold import FOLD
from spec.freshness import FRESHNESS
from spec.lease import LEASE
from spec.submissions import SUBMISSIONS

__all__ = ["MECHANISMS", "main"]

MECHANISMS = (
    FOLD,
    FRESHNESS,
    ESCROW,
    CLAIMS,
    COORDINATOR,
    EVACUATION,
    LEASE,
    SUBMISSIONS,
    ENDS_IN_TIME,
    ENDS_PER_INCARNATION,
    ENDS,
)


def main() -> int:
    """Print the result of each check; return 1 if any is not as expected."""
    failed = False
    for mechanism in MECHANISMS:
        design = check(mechanism)
        failed |= bool(design.violated) or not design.exhaustive
        print(f"{mechanism.name}: {_verdict(design)}")
        print(f"  bounds: {mechanism.bounds}")
        for variant, invariant in mechanism.broken.items():
            finding = check(mechanism, variant)
            failed |= invariant not in finding.violated
            steps = len(finding.violated.get(invariant, ()))
            print(f"  refuted in {steps:2} steps ({invariant}): {variant.value}")
    return int(failed)


def _verdict(design: Finding) -> str:
    if design.violated:
        return f"violated {design.violated}"
    scope = "all" if design.exhaustive else "not all, only"
    return f"holds in {scope} {design.states} states"


if __name__ == "__main__":
    sys.exit(main())
