"""Tests of the output and exit codes of the command line."""

import sys
from types import ModuleType

import httpx
import msgspec
import pytest

from hickoryplank.cli import ExitCode, main
from hickoryplank.client import Session, drain_vm, wait_in_force
from hickoryplank.core.fold import fold
from hickoryplank.core.objects import Kind, Pool
from hickoryplank.core.records import VmState, VmStep
from hickoryplank.external.errors import LogError
from hickoryplank.operator_api import ObjectsAnswer, PublishState
from tests.core.builders import join_node, new_id, small_fleet, tables_with
from tests.operator_fakes import (
    ENTRY,
    TOKEN,
    AppTransport,
    FakeReplicatedState,
    operator_app,
)

EXAMPLES = ["examples/cascoteo-sur.ini", "examples/andegarden.ini"]
IN_FORCE = PublishState.IN_FORCE
UNREACHABLE_ENTRY = "http://192.0.2.9:8080"
LIMIT = "[limit rutas]\nunits = 3\n"


class Cli:
    """Runs commands against an in-memory entry."""

    def __init__(self, path, capsys):
        self.path, self.capsys = path, capsys
        objects = [*small_fleet(), Pool(name="spare", spare=True)]
        self.replicated_state = FakeReplicatedState(tables_with(objects))
        join_node(self.replicated_state.tables, "entry-1")
        self.transport = AppTransport(
            {"192.0.2.7": operator_app(self.replicated_state)}
        )
        self.entries = [ENTRY]
        self.token = TOKEN

    def write_file(self, text, name="edit.ini"):
        (self.path / name).write_text(text)
        return str(self.path / name)

    def run(self, *argv):
        entries = [arg for entry in self.entries for arg in ("--entry", entry)]
        token = self.write_file(self.token, "token")
        code = main([*entries, "--token-file", token, *argv], self.transport)
        out, err = (text.replace(str(self.path), "DIR") for text in self.read())
        assert TOKEN not in out + err
        return code, out, err

    def read(self):
        captured = self.capsys.readouterr()
        return captured.out, captured.err


@pytest.fixture
def cli(tmp_path, capsys, monkeypatch):
    monkeypatch.setenv("COLUMNS", "80")
    return Cli(tmp_path, capsys)


@pytest.mark.parametrize(
    "command", [[], ["apply"], ["key", "create"], ["claims"], ["zone"], ["check"]]
)
def test_help(cli, snapshot, command):
    assert cli.run(*command, "--help") == snapshot


@pytest.mark.parametrize(
    "argv",
    [
        ["get"],
        ["get", "pool", "spare", "--format", "json"],
        ["get", "--format", "ini"],
        ["status"],
        ["key", "list"],
        ["wave", "start", "june", "rondas-norte"],
        ["drain", "vm-0", "--format", "json"],
        ["zone", "list"],
        ["zone", "list", "--format", "json"],
        ["zone", "evacuate", "talcahuano"],
        ["zone", "restore", "talcahuano", "--format", "json"],
        ["zone", "evacuate", "penco"],
        ["zone", "evacuate"],
    ],
)
def test_answers(cli, snapshot, argv):
    assert cli.run(*argv) == snapshot


def test_plan_and_history(cli, snapshot):
    file = cli.write_file(LIMIT + "[pool new]\n[delete key rutas-1]\n[team rutas]\n")
    assert cli.run("plan", file) == snapshot
    assert cli.run("apply", "--dry-run", file) == cli.run("plan", file)
    assert cli.replicated_state.offset == 1
    assert cli.run("apply", file)[0] == ExitCode.OK
    assert cli.run("drain", "vm-9")[0] == ExitCode.REFUSED
    assert cli.run("history") == snapshot


def test_status_shows_what_is_out_of_service(cli, snapshot):
    cli.replicated_state.confirmed = {"entry-2": 1}
    for argv in (["move", "vm-0", "spare"], ["wave", "start", "june", "spare"]):
        assert cli.run(*argv)[0] == ExitCode.PUBLISHED
    row = cli.replicated_state.tables.vms["vm-0"]
    step = VmStep(id=new_id(), vm="vm-0", revision=row.revision, state=VmState.DRAINED)
    fold(cli.replicated_state.tables, step).unwrap()
    assert cli.run("status") == snapshot


def test_evacuated_zone_is_shown_until_it_is_restored(cli, snapshot):
    for _ in range(2):
        assert cli.run("zone", "evacuate", "talcahuano")[0] == ExitCode.OK
    for argv in (["zone", "list"], ["status"], ["move", "vm-0", "spare"]):
        assert cli.run(*argv) == snapshot
    cli.replicated_state.confirmed = {"entry-2": 1}
    assert cli.run("zone", "restore", "talcahuano")[0] == ExitCode.PUBLISHED
    cli.entries = [UNREACHABLE_ENTRY, ENTRY]
    for argv in (["zone", "list"], ["history"]):
        assert cli.run(*argv) == snapshot


def test_faults_name_file_section_and_key(cli, snapshot):
    bad = cli.write_file("[limit rutas]\nunits = many\nunit = 3\n[pol x]\n", "bad.ini")
    refused = cli.write_file("[limit nobody]\nunits = 3\n[queue q]\npool = no\n")
    for argv in (["check", bad], ["check", refused], ["apply", refused]):
        assert cli.run(*argv) == snapshot
    assert cli.run("check", "--complete", refused)[0] == ExitCode.REFUSED
    assert cli.run("plan", "no-such-file")[0] == ExitCode.USAGE


FINDINGS = "[limit rutas]\nunits = 0\n[pool costa]\n[queue q]\npool = costa\n"


@pytest.mark.parametrize(
    "options",
    [
        [],
        ["--format", "json"],
        ["--diff"],
        ["--diff", "--format", "json"],
        ["--complete"],
    ],
)
def test_check_shows_findings(cli, snapshot, options):
    assert cli.run("check", *options, cli.write_file(FINDINGS)) == snapshot
    assert cli.replicated_state.offset == 1


def test_check_shows_differences_without_digests(cli, snapshot):
    digest = "123456789abc" + "d" * 52
    text = f"[key rutas-1]\nteam = rutas\ndigest = {digest}\n[key b]\n"
    text += f"team = rutas\ndigest = {'e' * 64}\n[delete pool spare]\n"
    file = cli.write_file(text)
    for output in ("table", "json"):
        result = cli.run("check", "--diff", file, "--format", output)
        assert result == snapshot
        assert digest not in result[1] and "0" * 13 not in result[1]


def test_check_of_a_whole_configuration_lists_what_the_files_leave_out(cli):
    lines = cli.run("get", "--format", "ini")[1].split("\n\n")
    whole = [part for part in lines if not part.startswith("[pool spare]")]
    file = cli.write_file("\n\n".join(whole).replace("units = 8", "units = 30"))
    code, out, err = cli.run("check", "--complete", "--diff", "--format", "json", file)
    report = msgspec.json.decode(out)
    assert (code, err, report["findings"]) == (ExitCode.OK, "", [])
    assert report["only_in_force"] == [{"kind": "pool", "name": "spare"}]
    assert [change["ref"]["name"] for change in report["changes"]] == ["rutas"]
    file = cli.write_file("\n\n".join(whole))
    code, out, err = cli.run("check", "--complete", file)
    assert (code, err) == (ExitCode.FINDINGS, "")
    assert "share_above_limit" in out


def test_check_with_faults_refuses_and_needs_an_entry_only_for_differences(cli):
    refused = cli.write_file(FINDINGS + "[limit nobody]\nunits = 3\n")
    code, out, err = cli.run("check", "--diff", refused)
    assert (code, out) == (ExitCode.REFUSED, "")
    assert "DIR/edit.ini: [limit nobody] name: " in err
    cli.entries = [UNREACHABLE_ENTRY]
    assert cli.run("check", refused)[0] == ExitCode.FINDINGS
    assert cli.run("check", "--diff", refused)[0] == ExitCode.UNREACHABLE
    clean = cli.write_file("[pool costa]\n")
    assert cli.run("check", clean) == (ExitCode.OK, "1 objects\n", "")
    assert main(["check", "--diff", clean]) == ExitCode.USAGE


@pytest.mark.parametrize("example", EXAMPLES)
def test_examples_are_consistent(cli, example):
    assert cli.run("check", "--complete", example) == (ExitCode.OK, "58 objects\n", "")
    cli.replicated_state.tables.objects.update({kind: {} for kind in Kind})
    cli.replicated_state.tables.vms.clear()
    assert cli.run("apply", example)[0] == ExitCode.OK
    assert len(cli.replicated_state.tables.vms) == 30


def test_objects_can_be_edited_and_applied_again(cli):
    text = cli.run("get", "--format", "ini")[1]
    plan = cli.run("plan", cli.write_file(text), "--format", "json")[1]
    assert {change["kind"] for change in msgspec.json.decode(plan)["changes"]} == {
        "none"
    }
    assert cli.run("apply", cli.write_file(text))[0] == ExitCode.OK
    assert cli.replicated_state.offset == 1
    edited = cli.write_file(text.replace("units = 8", "units = 5"))
    assert cli.run("apply", edited)[0] == ExitCode.OK
    limit = cli.replicated_state.tables.objects[Kind.LIMIT]["rutas"]
    assert (limit.obj.units, limit.revision) == (5, 3)
    assert cli.replicated_state.tables.objects[Kind.TEAM]["rutas"].revision == 1
    late = cli.write_file(text.replace("units = 8", "units = 9"))
    for command in ("plan", "apply"):
        code, _, err = cli.run(command, late)
        assert code == ExitCode.REFUSED
        assert "[limit rutas]: limit rutas was read at revision 1" in err


def test_exit_codes(cli):
    file = cli.write_file(LIMIT)
    cli.entries = [UNREACHABLE_ENTRY, ENTRY]
    assert cli.run("plan", file)[0] == ExitCode.OK
    cli.replicated_state.confirmed = {"entry-2": 1}
    assert cli.run("apply", file)[0] == ExitCode.PUBLISHED
    assert cli.run("apply", file, "--wait", "--timeout", "0")[0] == ExitCode.PUBLISHED
    file = cli.write_file(LIMIT.replace("3", "4"))
    cli.replicated_state.failure = LogError.UNKNOWN
    assert cli.run("apply", file)[0] == ExitCode.UNKNOWN
    cli.replicated_state.failure = LogError.UNAVAILABLE
    assert cli.run("apply", file)[0] == ExitCode.UNREACHABLE
    cli.token = "other"
    assert cli.run("status")[0] == ExitCode.NOT_OPERATOR
    cli.entries = [UNREACHABLE_ENTRY]
    code, _, err = cli.run("status")
    assert (code, err) == (
        ExitCode.UNREACHABLE,
        f"no entry responds: {UNREACHABLE_ENTRY}: down\n",
    )
    cli.entries = ["192.0.2.7"]
    assert cli.run("status")[0] == ExitCode.USAGE
    cli.entries = [ENTRY]
    for argv in (
        ["frobnicate"],
        ["--ca-file", "none.pem", "status"],
        ["drain", "\udcff"],
    ):
        assert cli.run(*argv)[0] == ExitCode.USAGE


def test_request_with_a_lost_response_is_retried_at_the_next_entry(cli):
    app = operator_app(cli.replicated_state)

    class LosingTransport(AppTransport):
        def handle_request(self, request):
            res = super().handle_request(request)
            if request.url.host == "192.0.2.8" and request.url.path.endswith("edits"):
                raise httpx.ReadTimeout("lost", request=request)
            return res

    cli.transport = LosingTransport({"192.0.2.7": app, "192.0.2.8": app})
    cli.entries = ["http://192.0.2.8:8080", ENTRY]
    assert cli.run("apply", cli.write_file(LIMIT))[0] == ExitCode.OK
    assert cli.replicated_state.offset == 2
    cli.entries.pop()
    assert cli.run("drain", "vm-0")[0] == ExitCode.OK
    assert (
        cli.run("apply", cli.write_file(LIMIT.replace("3", "4")))[0] == ExitCode.UNKNOWN
    )


def test_wait_ends_once_the_record_is_in_force(cli):
    session = Session((ENTRY,), TOKEN, transport=cli.transport)
    cli.replicated_state.confirmed = {"entry-2": 1}
    published = drain_vm(session, "vm-0").unwrap()
    assert published.waiting_for == ("entry-2",)

    def pause(seconds):
        cli.replicated_state.confirmed = {}

    done = wait_in_force(session, published, sleep=pause)
    assert done == msgspec.structs.replace(published, state=IN_FORCE, waiting_for=())


def test_key_secret_is_written_once_and_kept_as_a_digest(cli):
    code, out, _ = cli.run("key", "create", "rutas-2", "rutas", "--format", "json")
    secret = msgspec.json.decode(out)["secret"]
    assert code == ExitCode.OK
    assert cli.run("key", "create", "rutas-2", "rutas")[0] == ExitCode.REFUSED
    shown = [cli.run(*argv)[1] for argv in (["get"], ["key", "list"], ["history"])]
    assert not any(secret in text for text in shown)
    assert cli.run("key", "withdraw", "rutas-2")[0] == ExitCode.OK
    answer = cli.run("get", "key", "--format", "json")[1]
    assert len(msgspec.json.decode(answer, type=ObjectsAnswer).objects) == 1


def test_client_file_gives_entries_and_token(cli):
    file = (
        f"[client]\nentries = {ENTRY}\ntoken_file = {cli.write_file(TOKEN, 'token')}\n"
    )
    path = cli.write_file(file, "client.ini")
    assert main(["--client-file", path, "status"], cli.transport) == ExitCode.OK
    path = cli.write_file(file.replace("entries", "entry"), "client.ini")
    assert main(["--client-file", path, "status"], cli.transport) == ExitCode.USAGE


def test_settings_and_serve(cli, snapshot, monkeypatch):
    secret = cli.write_file("0123456789abcdef", "cluster-secret")
    with open("examples/entry.ini") as example:
        text = example.read().replace("= cluster-secret", f"= {secret}")
    file = cli.write_file(text)
    assert cli.run("settings", file) == snapshot
    served = []
    module = ModuleType("hickoryplank.shell.serve")
    module.run = served.append
    monkeypatch.setitem(sys.modules, "hickoryplank.shell.serve", module)
    assert cli.run("serve", file)[0] == ExitCode.OK
    assert [cfg.node.name for cfg in served] == ["entry-1"]
    assert cli.run("serve", cli.write_file("[node]\n"))[0] == ExitCode.USAGE
