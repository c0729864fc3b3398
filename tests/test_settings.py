"""Tests of the settings: validation, sources of values and hidden secrets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.settings import LogLevel, Source
from hickoryplank.settings_file import load_settings, parse_settings

SECRET = "0123456789abcdef-secret"
DIGEST = "ab" * 32
GOOD = f"""
[node]
name = entry-1
region = biobio
zone = talcahuano
api_bind = 127.0.0.1:8080
peer_bind = 127.0.0.1:8081
[platform]
log_url = http://127.0.0.1:9000
vms_url = http://127.0.0.1:9001
[security]
cluster_secret = {SECRET}
operator.olga = {DIGEST}
"""


def test_defaults_are_filled_in_and_marked():
    cfg = parse_settings(GOOD + "[log]\nlevel = debug\n", "e.ini").unwrap()
    assert cfg.log.level is LogLevel.DEBUG
    assert cfg.node.api_address == cfg.node.api_bind
    assert cfg.security.cluster_secret.reveal() == SECRET.encode()
    assert cfg.security.operators == {"olga": DIGEST}
    sources = {(one.section, one.key): one.source for one in cfg.effective()}
    assert sources["log", "level"] is Source.FILE
    assert sources["security", "cluster_secret"] is Source.FILE
    assert sources["limits", "body_bytes"] is Source.DEFAULT


def test_secrets_are_never_printed():
    cfg = parse_settings(GOOD, "e.ini").unwrap()
    printed = f"{cfg!r} {cfg} {cfg.effective()!r}"
    assert SECRET not in printed
    assert DIGEST not in str(cfg.effective())


def test_secret_is_read_from_its_file(tmp_path):
    file = tmp_path / "secret"
    file.write_text(f"{SECRET}\n")
    text = GOOD.replace(f"cluster_secret = {SECRET}", f"cluster_secret_file = {file}")
    cfg = parse_settings(text, "e.ini").unwrap()
    assert cfg.security.cluster_secret.reveal() == SECRET.encode()


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("[node]", "[nod]", "e.ini: [nod]: unknown section; must be one of node,"),
        ("name = ", "nam = ", "e.ini: [node] nam: unknown key; this section takes:"),
        ("name = entry-1", "", "e.ini: [node] name: is missing"),
        (
            ":8080",
            "",
            "api_bind: must be an IP address and a port, such as 192.0.2.7",
        ),
        (":8080", ":99999", "api_bind: must be an IP address and a port"),
        (
            "[platform]",
            "api_address = 192.0.2.7:0\n[platform]",
            "api_address: must be an IP address and a port",
        ),
        ("127.0.0.1:8081", "0.0.0.0:8081", "peer_address: is missing; others cannot"),
        ("http://127.0.0.1:9000", "x", "log_url: must start with http:// or"),
        (SECRET, "short", "cluster_secret: must contain at least 16 bytes"),
        (SECRET, SECRET + "\n  more", "cluster_secret: must be a non-empty text on"),
        ("cluster_secret =", "cluster_secret_file =", "cluster_secret_file: cannot be"),
        (DIGEST, "token", "operator.olga: must be operator.NAME = SHA-256"),
        ("operator.olga", "operator.Ol:ga", "must be operator.NAME = SHA-256"),
        ("operator.olga", "tls_cert_file", "requires both tls_cert_file and"),
        ("[node]", "[limits]\nbody_bytes=-1\n[node]", "body_bytes: must be 0 or more"),
        ("[node]", "[moves]\nfill=0\n[node]", "fill: must be above 0 and up to 1"),
        ("[node]", "[log]\nlevel=x\n[node]", "level: must be debug or info or"),
        ("[node]", "[log]\ntrace_ratio=2\n[node]", "must be between 0 and 1"),
        ("[node]", "[peers]\nseeds=x\n[node]", "unknown section"),
    ],
)
def test_fault_states_the_expected_form(old, new, fault):
    faults = parse_settings(GOOD.replace(old, new), "e.ini").unwrap_err()
    assert any(fault in str(found) for found in faults), faults
    assert not any(SECRET in str(found) for found in faults)


def test_all_faults_are_listed_at_once():
    faults = parse_settings("[node]\nfoo = 1\n[other]\n", "e.ini").unwrap_err()
    sections = {fault.section for fault in faults}
    assert sections == {"node", "other", "platform", "security"}
    assert len(faults) == 10


def test_file_that_cannot_be_read_is_a_fault(tmp_path):
    (fault,) = load_settings(tmp_path / "none.ini").unwrap_err()
    assert "cannot be read" in fault.message


@given(st.lists(st.sampled_from(GOOD.split("\n")) | st.text(max_size=10), max_size=16))
def test_any_text_gives_settings_or_faults(lines):
    result = parse_settings("\n".join(lines), "e.ini")
    if result.is_err():
        assert all(str(fault).startswith("e.ini:") for fault in result.unwrap_err())
