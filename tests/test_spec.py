"""Tests that the specified designs hold and that their broken variants fail."""

import pytest

from spec.__main__ import MECHANISMS
from spec.base import check

VARIANTS = [
    pytest.param(mechanism, variant, id=f"{mechanism.name}-{variant.name}")
    for mechanism in MECHANISMS
    for variant in mechanism.broken
]


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda m: m.name)
def test_design_holds(mechanism):
    finding = check(mechanism)
    assert finding.exhaustive
    assert finding.violated == {}


@pytest.mark.parametrize(("mechanism", "variant"), VARIANTS)
def test_broken_variant_is_refuted(mechanism, variant):
    assert mechanism.broken[variant] in check(mechanism, variant).violated
