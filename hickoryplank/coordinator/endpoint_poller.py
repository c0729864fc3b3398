"""Polling of endpoints, and of the list that names them."""

import logging

import anyio
from result import Err, Ok

from hickoryplank.coordinator.journal import TermEnded
from hickoryplank.coordinator.ports import CallFault, CallFaultKind, Newest, Topic
from hickoryplank.coordinator.recovery import read_newest
from hickoryplank.coordinator.term_state import Term
from hickoryplank.core.ids import EndpointId
from hickoryplank.jobs.endpoints import Endpoint
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.quarantine import Subject, SubjectKind, endpoint_subject
from hickoryplank.jobs.records import Record
from hickoryplank.shell.dependency_monitor import DependencyMonitor

__all__ = ["EndpointPoller"]

logger = logging.getLogger(__name__)

#: Time between two reads of the list of endpoints, in seconds. It is a tenth of the
#: time after which a draining endpoint must not be given any more work.
LISTINGS_INTERVAL_SECONDS = 0.2
#: Wait before an endpoint that did not answer is polled again, in seconds.
POLL_RETRY_SECONDS = 0.25
#: Longest wait until reported ends are stored before the endpoint is polled again, in
#: seconds.
ENDS_STORED_TIMEOUT_SECONDS = 0.3
#: Time after an outage of the store within which a missing endpoint may be listed
#: again, in seconds. According to the platform, that takes about 2 s.
RELIST_GRACE_SECONDS = 2.5


class EndpointPoller:
    """Polls every endpoint and renews the leases of its runs."""

    def __init__(self, term: Term):
        self._term = term
        self._listings_offset = 0
        self._prefetched: Newest | None = None
        self._endpoint_list_availability = DependencyMonitor(
            "endpoint list", term.context.clock
        )
        self._listings_failed_at = term.context.clock.now()
        self._missing: set[EndpointId] = set()
        #: Records of the list that could not be applied.
        self._failed_listings: dict[EndpointId, Record] = {}
        self._polled: set[Endpoint] = set()

    async def _poll_loop(self, endpoint: Endpoint) -> None:
        engine = self._term.require_engine()
        clock = self._term.context.clock
        subject = endpoint_subject(endpoint.id, endpoint.listing.born_ms)
        while engine.endpoints.get(endpoint.id) is endpoint:
            if engine.quarantine.is_paused(subject, clock.now()):
                await anyio.sleep(POLL_RETRY_SECONDS)
                continue
            try:
                await self._poll(engine, endpoint)
            except TermEnded:
                raise
            except Exception as exc:
                # As its reports can't be applied, nothing is known of it: it is
                # treated like one that doesn't answer.
                engine.quarantine.set_aside(subject, exc)
                engine.poll_unanswered(endpoint, clock.now(), may_arrive=True)
            else:
                engine.quarantine.release(subject, clock.now())
        self._polled.discard(endpoint)

    async def _poll(self, engine: Engine, endpoint: Endpoint) -> None:
        """Poll an endpoint once and apply its report.

        :raises TermEnded: if the endpoint has seen a higher fencing token.
        """
        clock = self._term.context.clock
        renew = self._term.renewed_recently()
        request = engine.next_poll(endpoint, clock.now(), renew=renew)
        sent_at = clock.now()
        token = self._term.token_for(endpoint)
        match await self._term.context.endpoints.poll(request, token):
            case Ok(report):
                is_first = not endpoint.token_confirmed
                engine.poll_answered(endpoint, report, sent_at, clock.now())
                _log_if_begun(engine, endpoint, "report")
                needs_commit = is_first or endpoint.has_unstored_ends
                self._poll_new_endpoints(engine)
                if needs_commit:
                    stored = self._term.stored
                    self._term.request_tick()
                    with anyio.move_on_after(ENDS_STORED_TIMEOUT_SECONDS):
                        await stored.wait()
                elif endpoint.held_end_number is not None:
                    # An endpoint with ends that are not acknowledged answers at once.
                    await anyio.sleep(POLL_RETRY_SECONDS)
            case Err(CallFault(CallFaultKind.FENCED, _)):
                self._term.end_if_fenced(endpoint, token)
            case Err(CallFault(CallFaultKind.OTHER_INCARNATION, detail)):
                logger.info(
                    "endpoint incarnation ended; its runs are lost",
                    extra={"endpoint": endpoint.id, "detail": detail},
                )
                engine.end_incarnation(endpoint, clock.now())
                self._term.request_tick()
            case Err(fault):
                if endpoint.silent_since is None and not endpoint.cordoned:
                    logger.info(
                        "endpoint silent",
                        extra={"endpoint": endpoint.id, "detail": fault.detail},
                    )
                may_arrive = fault.kind is not CallFaultKind.NOT_DONE
                if request.acknowledged and may_arrive:
                    logger.info(
                        "acknowledgement without an answer",
                        extra={
                            "endpoint": endpoint.id,
                            "born_ms": endpoint.listing.born_ms,
                            "acknowledged": request.acknowledged,
                            "wait_ms": request.wait_ms,
                            "sent_s_ago": round(clock.now() - sent_at, 3),
                        },
                    )
                engine.poll_unanswered(endpoint, clock.now(), may_arrive=may_arrive)
                await anyio.sleep(POLL_RETRY_SECONDS)

    def _poll_new_endpoints(self, engine: Engine) -> None:
        pools = engine.configuration.pools
        for endpoint in engine.endpoints.values():
            if endpoint in self._polled:
                continue
            # A listing with an unknown pool need not be an endpoint's, unless it has
            # runs from when its pool was known.
            if endpoint.listing.pool in pools or endpoint.runs:
                self._polled.add(endpoint)
                self._term.require_tasks().start_soon(self._poll_loop, endpoint)

    async def follow_listings(self) -> None:
        """Follow the list of endpoints until the term ends."""
        clock = self._term.context.clock
        while True:
            await anyio.sleep(LISTINGS_INTERVAL_SECONDS)
            engine = self._term.require_engine()
            match await self._term.context.store.read(
                Topic.LISTINGS, self._listings_offset, 0
            ):
                case Ok(page):
                    self._endpoint_list_availability.note_answer()
                    self._listings_offset = page.next
                    for record in page.records:
                        self._apply_listing(engine, record)
                    self._apply_failed_listings(engine)
                case Err(CallFault(CallFaultKind.TRIMMED, _)):
                    await self.read_listings()
                case Err(fault):
                    self._endpoint_list_availability.note_failure(fault.detail)
                    self._listings_failed_at = clock.now()
                    continue
            self._remove_missing(engine)
            engine.release_unlisted_assignments(clock.now())
            self._poll_new_endpoints(engine)

    async def prefetch_listings(self) -> None:
        """Read the list of endpoints in advance, before the engine is restored."""
        self._prefetched = await read_newest(self._term.context.store, Topic.LISTINGS)

    async def read_listings(self) -> None:
        """Pass the whole list of endpoints to the engine.

        The list is read, unless it has been prefetched.
        """
        engine = self._term.require_engine()
        newest, self._prefetched = self._prefetched, None
        if newest is None:
            newest = await read_newest(self._term.context.store, Topic.LISTINGS)
        self._listings_offset = newest.end
        records = newest.records
        # The list is whole: what failed before and is gone from it must not come back.
        for id in self._failed_listings:
            engine.quarantine.discard(Subject(SubjectKind.ENDPOINT, id))
        self._failed_listings.clear()
        listed_ids = {EndpointId(record.key) for record in records if record.value}
        for record in records:
            self._apply_listing(engine, record)
        for endpoint in engine.endpoints.values():
            if endpoint.id not in listed_ids:
                self._missing.add(endpoint.id)
        self._poll_new_endpoints(engine)

    def _apply_listing(self, engine: Engine, record: Record) -> None:
        """Apply a record of the list, or keep it to be applied later if that raises."""
        subject = Subject(SubjectKind.ENDPOINT, record.key)
        now = self._term.context.clock.now()
        self._failed_listings.pop(EndpointId(record.key), None)
        try:
            self._apply_sound_listing(engine, record)
        except Exception as exc:
            self._failed_listings[EndpointId(record.key)] = record
            engine.quarantine.set_aside(subject, exc)
        else:
            engine.quarantine.release(subject, now)

    def _apply_failed_listings(self, engine: Engine) -> None:
        now = self._term.context.clock.now()
        for id, record in list(self._failed_listings.items()):
            subject = Subject(SubjectKind.ENDPOINT, id)
            if not engine.quarantine.is_paused(subject, now):
                self._apply_listing(engine, record)

    def _apply_sound_listing(self, engine: Engine, record: Record) -> None:
        id = EndpointId(record.key)
        if not record.value:
            self._missing.add(id)
            return
        listing = self._term.context.listings.decode(record)
        if listing is None:
            return
        self._missing.discard(id)
        known = engine.endpoint_of(id)
        engine.update_listing(listing, self._term.context.clock.now())
        if known is not None:
            _log_if_begun(engine, known, "listing")

    def _remove_missing(self, engine: Engine) -> None:
        """Remove endpoints that are missing for another reason than an outage."""
        now = self._term.context.clock.now()
        if now - self._listings_failed_at < RELIST_GRACE_SECONDS:
            return
        for id in self._missing:
            engine.remove_listing(id)
        self._missing.clear()


def _log_if_begun(engine: Engine, before: Endpoint, source: str) -> None:
    """Log that an endpoint has started again under its id, if it has.

    :param before: the incarnation that was known until now.
    :param source: how the new one became known.
    """
    fresh = engine.endpoints.get(before.id)
    if fresh is None or fresh.listing.born_ms == before.listing.born_ms:
        return
    logger.info(
        "endpoint incarnation begun",
        extra={
            "endpoint": fresh.id,
            "source": source,
            "born_ms": fresh.listing.born_ms,
            "former_born_ms": before.listing.born_ms,
            "acknowledged": before.sent_ack_number,
            "runs": len(fresh.runs),
        },
    )
