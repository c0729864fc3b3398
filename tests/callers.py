"""Callers that retry through other entries, for fault tests."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import httpx

from hickoryplank.external.worker_simulator import answer_body
from hickoryplank.shell.claim_ids import claim_id_for
from tests.fleet import KEY, Fleet, wait_until

TEAM = "rutas"
FINAL_STATE_TIMEOUT_SECONDS = 40.0
CALL_TIMEOUT_SECONDS = 4.0
RETRY_PAUSE_SECONDS = 0.1
ACCEPTED = 202
FINAL_STATES = ("done", "unknown")


class Caller:
    """A caller that submits one request with one idempotency key until it is final.

    :param queue: queue that the request is submitted to.
    :param name: idempotency key, and name of the effect.
    :param seconds: service time of the request.
    """

    def __init__(self, fleet: Fleet, queue: str, name: str, seconds: float = 0.0):
        self.fleet = fleet
        self.queue = queue
        self.name = name
        self.body = json.dumps({"effect": name, "seconds": seconds}).encode()
        self.claim = claim_id_for(TEAM, queue, name)

    def post(
        self, entry: int, wait: float = CALL_TIMEOUT_SECONDS
    ) -> httpx.Response | None:
        """Submit the request through ``entry``; return ``None`` without a response."""
        headers = {"Idempotency_Key": self.name, "Prefer": f"wait={wait}"}
        try:
            return self.fleet.submit(
                entry, self.queue, self.body, timeout=CALL_TIMEOUT_SECONDS, **headers
            )
        except httpx.HTTPError:
            return None

    def final_answer(self, entry: int) -> httpx.Response | None:
        """Submit through ``entry``; return the final response or ``None``."""
        res = self.post(entry)
        return None if res is None or res.status_code == ACCEPTED else res

    def state(self, entry: int) -> str:
        """Return the state of the claim at ``entry``, or an empty string on failure."""
        url = f"http://{self.fleet.entries[entry].address}/v1/work/{self.claim}"
        headers = {"Authorization": f"Bearer {KEY}"}
        try:
            res = self.fleet.client.get(
                url, headers=headers, timeout=CALL_TIMEOUT_SECONDS
            )
        except httpx.HTTPError:
            return ""
        return res.json()["state"] if res.status_code == 200 else ""

    def submit_until_final(self, first: int) -> str:
        """Retry through the entries in turn until the state is final, and return it."""
        until = time.monotonic() + FINAL_STATE_TIMEOUT_SECONDS
        entry = first
        while time.monotonic() < until:
            entry = (entry + 1) % len(self.fleet.entries)
            res = self.post(entry)
            if res is not None and res.status_code == 200:
                return "done"
            if (state := self.state(entry)) in FINAL_STATES:
                return state
            time.sleep(RETRY_PAUSE_SECONDS)
        return f"not final: {self.state(entry)}"

    def check_answers(self, effects: int) -> None:
        """Check that all entries give the same answer and that it matches the effects.

        :param effects: how often the request took effect.
        """
        assert effects <= 1, f"{self.name} took effect {effects} times"
        answers = [
            wait_until(lambda i=i: self.final_answer(i), what=self.name)
            for i in range(len(self.fleet.entries))
        ]
        assert len({(res.status_code, res.content) for res in answers}) == 1
        if answers[0].status_code == 200:
            assert (effects, answers[0].content) == (1, answer_body(self.body))
        else:
            assert answers[0].json()["outcome"] == "unknown"
            assert self.state(0) == "unknown"


def run_callers(fleet: Fleet, callers: list[Caller], fault) -> list[str]:
    """Run all callers while ``fault`` is injected; return their final states."""
    with ThreadPoolExecutor(len(callers)) as pool:
        running = [
            pool.submit(c.submit_until_final, i % 3) for i, c in enumerate(callers)
        ]
        fault()
        states = [future.result() for future in running]
    fleet.wait_ready()
    effects = fleet.effects()
    for caller in callers:
        caller.check_answers(effects[caller.name])
    return states
