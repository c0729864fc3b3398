"""Demonstration with three entries and simulated workers on loopback."""

import argparse
import json
import re
import signal
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.fleet import TOKEN, Fleet, Program, wait_until

OBJECTS = Path(__file__).parent.parent / "examples" / "cascoteo-sur.ini"
VMS = 30
SLOTS = 8
TASK_SECONDS = 0.02
START_THREADS = 8
_ADDRESS = re.compile(r"192\.0\.2\.(\d+):9000")


def print_line(text: str = "") -> None:
    """Print one line and flush."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


class Demo:
    """The steps of the demonstration."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._keys: dict[str, str] = {}
        self._step = 0

    def run(self) -> None:
        """Run all steps."""
        for step in (
            self.start,
            self.publish,
            self.create_keys,
            self.submit_urgent,
            self.submit_twice,
            self.submit_batch,
            self.withdraw,
            self.drain,
            self.kill_entry,
            self.report,
        ):
            step()

    def _print_title(self, text: str) -> None:
        self._step += 1
        print_line(f"\n{self._step}. {text}")

    def start(self) -> None:
        """Start the stand-ins and entries."""
        self._print_title(
            "Start a log, a VM list, 30 workers and three entries on loopback"
        )
        fleet = self._fleet
        fleet.log = fleet.standin("log", "log")
        fleet.vms = fleet.standin("vms", "vms", "--reboot-seconds", "0.5")
        with ThreadPoolExecutor(START_THREADS) as pool:
            fleet.workers = list(pool.map(self._worker, range(VMS)))
        for number in range(3):
            fleet.add_entry(number)
        fleet.wait_ready()
        for entry in fleet.entries:
            print_line(f"   {entry.name} is ready at http://{entry.address}")

    def _worker(self, number: int) -> Program:
        args = ("--slots", str(SLOTS), "--seconds", str(TASK_SECONDS))
        return self._fleet.standin("worker", f"worker-{number}", *args)

    def publish(self) -> None:
        """Publish the example objects as one set."""
        self._print_title("Publish pools, teams, shares, limits, queues and endpoints")
        text = OBJECTS.read_text("utf-8")
        text = _ADDRESS.sub(lambda m: self._fleet.workers[int(m[1]) - 1].address, text)
        self._print_indented(self._fleet.publish(text).stdout)

    def create_keys(self) -> None:
        """Create a key for each team of the demonstration."""
        self._print_title("Create keys for the teams rutas and pagos")
        for team in ("rutas", "pagos"):
            name = f"{team}-demo"
            args = ("key", "create", name, team, "--wait", "--format", "json")
            made = self._run_cli(*args)
            self._keys[team] = json.loads(made)["secret"]
            print_line(f"   key {name} is in force; its secret is shown once")

    def submit_urgent(self) -> None:
        """Submit an urgent request through each entry."""
        self._print_title("A route request through each entry")
        for number, entry in enumerate(self._fleet.entries):
            started_at = time.monotonic()
            res = self._submit(number, "rondas-norte", b"ronda del alba", "rutas")
            millis = (time.monotonic() - started_at) * 1000
            outcome = res.headers["hickoryplank-outcome"]
            print_line(
                f"   {entry.name}: {res.status_code} {outcome} in {millis:.0f} ms"
            )

    def submit_twice(self) -> None:
        """Submit one request twice with the same idempotency key."""
        self._print_title("A weighing slip sent twice, through two entries, runs once")
        claims = []
        for number in (0, 1):
            res = self._submit(
                number, "socios", b"boleta 17", "pagos", Idempotency_Key="boleta-17"
            )
            claims.append(res.headers.get("location") or res.text)
            print_line(f"   entry-{number}: {res.status_code} {claims[-1]}")
        answers = {self._wait_for_answer(number, claims[0]) for number in (0, 1)}
        same = len(set(claims)) == len(answers) == 1
        print_line(f"   same work and same answer: {'yes' if same else 'NO'}")

    def submit_batch(self) -> None:
        """Submit batch work and poll its status."""
        self._print_title("A settlement batch is accepted, and its status followed")
        res = self._submit(2, "socios", b"lote", "pagos", Idempotency_Key="lote-1")
        location = res.headers["location"]
        print_line(f"   {res.status_code}, status at {location}")
        self._wait_for_answer(2, location)
        print_line(f"   {self._get(2, location).text}")

    def withdraw(self) -> None:
        """Withdraw a key and check that every entry refuses it."""
        self._print_title("Withdraw the key of pagos")
        started_at = time.monotonic()
        self._run_cli("key", "withdraw", "pagos-demo", "--wait")
        for number in range(len(self._fleet.entries)):
            res = self._submit(number, "socios", b"x", "pagos", Idempotency_Key="x")
            print_line(f"   entry-{number}: {res.status_code} {res.json()['title']}")
        print_line(
            f"   in force everywhere after {time.monotonic() - started_at:.1f} s"
        )

    def drain(self) -> None:
        """Drain a VM under load."""
        self._print_title("Drain talcahuano-1 while requests go on")
        self._run_cli("drain", "talcahuano-1", "--wait")
        print_line(f"   {self._count_completed(0)} of 20 requests completed")
        row = wait_until(self._drained, what="the drain")
        print_line(f"   talcahuano-1 is {row['state']}")
        self._run_cli("undrain", "talcahuano-1", "--wait")

    def _drained(self) -> dict | None:
        status = json.loads(self._run_cli("status", "--format", "json"))
        rows = [row for row in status["out_of_service"] if row["vm"] == "talcahuano-1"]
        return rows[0] if rows and rows[0]["state"] == "drained" else None

    def kill_entry(self) -> None:
        """Kill an entry and check that the others serve requests."""
        self._print_title("Kill entry-2, and send requests to the others at once")
        self._fleet.entries.pop().kill()
        print_line(
            f"   {self._count_completed(0)} of 20 requests through entry-0 completed"
        )
        print_line(
            f"   {self._count_completed(1)} of 20 requests through entry-1 completed"
        )

    def report(self) -> None:
        """Show the report."""
        self._print_title("Output of 'hickoryplank report'")
        self._print_indented(self._run_cli("report"))

    def _count_completed(self, entry: int) -> int:
        answers = (
            self._submit(entry, "rondas-norte", b"ronda", "rutas") for _ in range(20)
        )
        return sum(res.status_code == 200 for res in answers)

    def _submit(self, entry: int, queue: str, body: bytes, team: str, **headers):
        return self._fleet.submit(entry, queue, body, self._keys[team], **headers)

    def _get(self, entry: int, path: str):
        url = f"http://{self._fleet.entries[entry].address}{path}"
        bearer = {"Authorization": f"Bearer {self._keys['pagos']}"}
        return self._fleet.client.get(url, headers=bearer)

    def _wait_for_answer(self, entry: int, location: str) -> bytes:
        def finished():
            res = self._get(entry, f"{location}/answer")
            return res if res.status_code == 200 else None

        return wait_until(finished, what=location).content

    def _run_cli(self, *args: str) -> str:
        done = self._fleet.cli(*args)
        if done.returncode:
            raise SystemExit(f"hickoryplank {' '.join(args)}: {done.stderr}")
        return done.stdout

    def _print_indented(self, text: str) -> None:
        for line in text.splitlines():
            print_line(f"   {line}")

    def stay(self) -> None:
        """Print commands for manual use and wait for an interrupt."""
        entries = [f"http://{entry.address}" for entry in self._fleet.entries]
        options = " ".join(f"--entry {entry}" for entry in entries)
        token = self._fleet.root / "token"
        cli = f".venv/bin/hickoryplank {options} --token-file {token}"
        print_line(f"\nRunning until Ctrl-C. The operator's token is {TOKEN!r}. Try:")
        for command in ("status", "report", "history", "move coronel-10 rondas-norte"):
            print_line(f"   {cli} {command}")
        print_line(
            f"   curl -H 'Authorization: Bearer {self._keys['rutas']}' -d ronda"
            f" {entries[0]}/v1/queues/rondas-norte/work"
        )
        print_line(f"   curl {entries[0]}/metrics")
        signal.pause()


def main() -> None:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(prog="tests.demo", description=__doc__)
    parser.add_argument(
        "--stay", action="store_true", help="keep everything running afterwards"
    )
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with tempfile.TemporaryDirectory() as root, Fleet(Path(root)) as fleet:
        demo = Demo(fleet)
        try:
            demo.run()
            if args.stay:
                demo.stay()
        except KeyboardInterrupt:
            print_line("interrupted")


if __name__ == "__main__":
    main()
