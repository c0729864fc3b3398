"""Tests of the table of what is set aside, and of its pauses."""

import pytest

from hickoryplank.core.ids import JobId
from hickoryplank.jobs.quarantine import (
    FIRST_PAUSE_SECONDS,
    FORGET_SECONDS,
    MAX_PAUSE_SECONDS,
    Quarantine,
    SubjectKind,
    job_subject,
)

SUBJECT = job_subject(JobId("a"))


def fail(quarantine: Quarantine, exc: Exception | None = None) -> None:
    with quarantine.guard(SUBJECT):
        raise exc or ValueError("first place")


def fail_elsewhere(quarantine: Quarantine) -> None:
    with quarantine.guard(SUBJECT):
        raise ValueError("second place")


def try_until(quarantine: Quarantine, now: float) -> float:
    """Return the time from which a subject is tried again, to a tenth of a second."""
    while quarantine.is_paused(SUBJECT, now):
        now += 0.1
    return now


@pytest.mark.parametrize("released", [False, True])
def test_pauses_double_up_to_the_bound_also_if_a_try_goes_well_for_a_moment(released):
    quarantine, now, pauses = Quarantine(), 0.0, []
    for _ in range(10):
        fail(quarantine)
        begin, now = now, try_until(quarantine, now)
        pauses.append(now - begin)
        if released:
            assert quarantine.release(SUBJECT, now)
    bounds = [min(MAX_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2**n) for n in range(10)]
    assert pauses == pytest.approx(bounds, abs=0.11)
    assert [one.pause_s for one in quarantine.take_faults()] == bounds


def test_a_subject_that_went_well_for_long_begins_with_the_first_pause():
    quarantine = Quarantine()
    for _ in range(4):
        fail(quarantine)
        now = try_until(quarantine, 0.0)
    quarantine.release(SUBJECT, now)
    quarantine.take_faults()
    assert quarantine.due(SubjectKind.JOB, now + FORGET_SECONDS + 1) == []
    fail(quarantine)
    assert [one.pause_s for one in quarantine.take_faults()] == [FIRST_PAUSE_SECONDS]


def test_failures_within_a_pause_are_reported_once_for_each_place():
    quarantine = Quarantine()
    for _ in range(3):
        fail(quarantine)
        fail_elsewhere(quarantine)
    faults = quarantine.take_faults()
    assert [str(one.exc) for one in faults] == ["first place", "second place"]
    assert {one.failures for one in faults} == {1}
    assert quarantine.take_faults() == []
    assert quarantine.counts()[SubjectKind.JOB] == 1


def test_others_are_not_set_aside():
    quarantine = Quarantine()
    fail(quarantine)
    assert quarantine.has_job(JobId("a"))
    assert not quarantine.has_job(JobId("b"))
    quarantine.discard(SUBJECT)
    assert not quarantine.has_job(JobId("a"))


@pytest.mark.parametrize("exc", [KeyboardInterrupt(), GeneratorExit(), KeyError("k")])
def test_cancellation_and_named_exceptions_pass(exc: BaseException):
    quarantine = Quarantine()
    with pytest.raises(type(exc)), quarantine.guard(SUBJECT, passes=(KeyError,)):
        raise exc
    assert quarantine.take_faults() == []
    assert not quarantine.is_aside(SUBJECT)
