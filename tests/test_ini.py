"""Tests of object sets in INI files."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.objects import (
    Endpoint,
    Key,
    Kind,
    Limit,
    Pool,
    Queue,
    Ref,
    Share,
    Team,
    WorkClass,
    ref_of,
)
from hickoryplank.core.records import Delete, Put
from hickoryplank.ini import ObjectFile, format_objects, parse_files, parse_objects

NAMES = st.from_regex(r"[a-z0-9æøå][a-z0-9æøå._-]{0,8}", fullmatch=True)
COUNTS = st.integers(0, 10**9)
ADDRESSES = st.builds("192.0.2.{}:{}".format, st.integers(0, 255), COUNTS)
OBJECTS = st.one_of(
    st.builds(Pool, name=NAMES, min_available=COUNTS, spare=st.booleans()),
    st.builds(Team, name=NAMES),
    st.builds(Key, name=NAMES, team=NAMES, digest=st.just("0a" * 32)),
    st.builds(
        Queue,
        name=NAMES,
        pool=NAMES,
        work_class=st.sampled_from(WorkClass),
        idempotent=st.booleans(),
        open_team=st.none() | NAMES,
        teams=st.lists(NAMES, max_size=3).map(tuple),
    ),
    st.builds(Share, name=NAMES, percent=st.floats(0, 100)),
    st.builds(Limit, name=NAMES, units=COUNTS),
    st.builds(
        Endpoint,
        name=NAMES,
        address=ADDRESSES,
        pool=NAMES,
        zone=NAMES,
        rack=NAMES,
        slots=COUNTS,
    ),
)
EDITS = st.lists(
    OBJECTS.map(Put) | st.builds(Delete, st.builds(Ref, st.sampled_from(Kind), NAMES)),
    unique_by=lambda edit: edit.ref if isinstance(edit, Delete) else ref_of(edit.obj),
).map(tuple)
LINES = st.sampled_from(
    [
        "[pool a]",
        "[ pool  a ]",
        "[delete pool a]",
        "[team b]",
        "[queue c]",
        "[pool a] rest",
        "[DEFAULT]",
        "[]",
        "min_available = 3",
        "min_available: 3",
        "pool = a",
        "spare = %(no)s",
        "  idempotent = false",
        "teams = b, c",
        "= 1",
        "# note",
        "",
        "\ufeff",
        "[\x00duplicate]",
    ]
) | st.text(max_size=12)


@given(EDITS, st.dictionaries(st.builds(Ref, st.sampled_from(Kind), NAMES), COUNTS))
def test_formatted_objects_are_parsed_back(edits, revisions):
    read = parse_objects(format_objects(edits, revisions), "f.ini").unwrap()
    kept = {ref: revisions[ref] for ref in read.files if ref in revisions}
    assert (read.edits, read.revisions) == (edits, kept)


@given(st.lists(LINES, max_size=12).map("\n".join))
def test_any_text_is_parsed_completely_or_rejected(text):
    result = parse_objects(text, "f.ini")
    if result.is_err():
        assert all(str(fault).startswith("f.ini:") for fault in result.unwrap_err())
        return
    edits = result.unwrap().edits
    lines = [line for line in text.split("\n") if line.strip() and line[0] not in "#;"]
    assert len(edits) == sum(line.startswith("[") for line in lines)
    assert parse_objects(format_objects(edits), "g.ini").unwrap().edits == edits


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("a = 1", "f.ini: line 1: text before the first [section]"),
        ("[team a]\nx", "f.ini: line 2: neither '[section]' nor 'key = value'"),
        ("[\x00duplicate1]", "f.ini: contains a NUL character"),
        ("[team a]\n[team a]", "f.ini: [team a]: line 2: duplicate section; keep one"),
        (
            "[pool a]\nspare=no\nspare=no",
            "f.ini: [pool a] spare: line 3: duplicate key",
        ),
        ("[pol a]", "f.ini: [pol a]: unknown section; must be [KIND NAME] or"),
        ("[pool]", "f.ini: [pool]: unknown section; must be [KIND NAME] or"),
        ("[pool a]\nsize = 3", "f.ini: [pool a] size: unknown key; this section takes"),
        ("[team a]\nname = b", "f.ini: [team a] name: unknown key; this section"),
        ("[key a]\nteam=b\nsecret=s", "f.ini: [key a] secret: unknown key; this"),
        ("[limit a]", "f.ini: [limit a] units: is missing; must be a whole number"),
        ("[limit a]\nunits = 1e3", "f.ini: [limit a] units: must be a whole number"),
        ("[share a]\npercent = nan", "f.ini: [share a] percent: must be a number"),
        ("[pool a]\nspare = 1", "f.ini: [pool a] spare: must be true or false"),
        ("[queue a]\npool=p\nwork_class=x", "work_class: must be urgent or batch"),
        ("[queue a]\npool = p\n  q", "f.ini: [queue a] pool: must be a non-empty text"),
        (
            "[delete pool a]\nspare = no",
            "spare: a [delete ...] section takes no key",
        ),
        ("[pool a]\nrevision = x", "revision: must be the revision at which the"),
        ("[pool a]\n[delete pool a]", "pool a is already edited in f.ini; remove one"),
    ],
)
def test_fault_names_file_section_and_key(text, fault):
    faults = parse_objects(text, "f.ini").unwrap_err()
    assert any(fault in str(found) for found in faults), faults


def test_all_faults_of_all_files_are_listed():
    files = (
        ObjectFile("a.ini", "x\n[pool a]\nspare=maybe\nmin_available=no\n[pol b]\n"),
        ObjectFile("b.ini", "[limit a]\nunits=1\nunits=2\n[limit a]\n[key k]\n"),
    )
    faults = [str(fault) for fault in parse_files(files).unwrap_err()]
    assert [fault.split(":")[0] for fault in faults] == ["a.ini"] * 4 + ["b.ini"] * 4


def test_files_form_one_set():
    files = (ObjectFile("a.ini", "[team a]\n"), ObjectFile("b.ini", "[team b]\n"))
    objects = parse_files(files).unwrap()
    assert [objects.files[ref_of(edit.obj)] for edit in objects.edits] == [
        "a.ini",
        "b.ini",
    ]
    twice = (*files, ObjectFile("c.ini", "[team a]\n"))
    (fault,) = parse_files(twice).unwrap_err()
    assert str(fault) == (
        "c.ini: [team a]: team a is already edited in a.ini; remove one of the two"
    )


def test_many_faults_end_in_a_summary():
    text = "[team a]\n" + "junk\n" * 5_000 + "[team a]\n" * 5_000
    faults = parse_objects(text, "f.ini").unwrap_err()
    assert "fix these first" in faults[-1].message
