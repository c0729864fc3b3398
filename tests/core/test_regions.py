"""Tests of quotas that span regions, under partitions and message faults."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hickoryplank.core.regions import (
    Ack,
    LimitChanged,
    Offer,
    QuotaAcked,
    QuotaSent,
    RegionLedger,
    TeamQuota,
    Transfer,
    UnitsHeld,
    apply_region_record,
    on_message,
    outgoing,
    plan_transfer,
)
from tests.core.builders import new_id

TEAM = "rutas"
REGIONS = ("biobio", "vestland")
SETTLING_ROUNDS = 200

regions = st.sampled_from(REGIONS)
amounts = st.integers(0, 12)


class TwoRegions(RuleBasedStateMachine):
    """Two regions with a log each, and messages that may meet any fault."""

    def __init__(self):
        super().__init__()
        homes = {TEAM: REGIONS[0]}
        self.ledgers = {name: RegionLedger(name, homes) for name in REGIONS}
        self.network = []
        self.cut = False

    def fold(self, region, record):
        return apply_region_record(self.ledgers[region], record)

    def total(self):
        """Count quota, held or not, and quota that is not yet received."""
        rows = [ledger.team(TEAM) for ledger in self.ledgers.values()]
        return sum(row.quota for row in rows) + self.in_flight()

    def in_flight(self):
        count = 0
        for name, ledger in self.ledgers.items():
            for to, channel in ledger.channels.items():
                received = self.ledgers[to].channel(name).received
                count += sum(t.units for t in channel.outbox if t.number > received)
        return count

    @rule(units=amounts)
    def edit_limit(self, units):
        assert not self.fold(
            REGIONS[0], LimitChanged(id=new_id(), team=TEAM, units=units)
        )

    @rule(units=amounts)
    def edit_away_from_home_is_refused(self, units):
        assert self.fold(REGIONS[1], LimitChanged(id=new_id(), team=TEAM, units=units))

    @rule(region=regions, units=amounts)
    def hold(self, region, units):
        self.fold(region, UnitsHeld(id=new_id(), team=TEAM, units=units))

    @rule(region=regions, units=amounts)
    def send(self, region, units):
        to = REGIONS[region == REGIONS[0]]
        self.fold(region, QuotaSent(id=new_id(), to=to, team=TEAM, units=units))

    @precondition(lambda self: not self.cut)
    @rule(region=regions)
    def beat(self, region):
        self.network.extend(outgoing(self.ledgers[region]))

    @precondition(lambda self: self.network)
    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        i = data.draw(st.integers(0, len(self.network) - 1))
        self.receive(self.network[i])
        if not keep:
            del self.network[i]

    @precondition(lambda self: self.network)
    @rule(data=st.data())
    def lose(self, data):
        del self.network[data.draw(st.integers(0, len(self.network) - 1))]

    @rule()
    def cut_or_heal(self):
        self.cut = not self.cut

    def receive(self, message):
        record = on_message(self.ledgers[message.to], message, new_id())
        if record is not None:
            self.fold(message.to, record)
            self.fold(message.to, record)

    @invariant()
    def quota_never_exceeds_the_limit(self):
        home = self.ledgers[REGIONS[0]]
        limit = home.limits.get(TEAM, 0) + home.team(TEAM).debt
        assert self.total() == limit
        held = sum(ledger.team(TEAM).held for ledger in self.ledgers.values())
        assert held <= limit

    @invariant()
    def no_region_holds_more_than_its_quota(self):
        for ledger in self.ledgers.values():
            row = ledger.team(TEAM)
            assert 0 <= row.held <= row.quota
            assert row.debt >= 0

    def teardown(self):
        """Once the regions hear each other again, every transfer settles."""
        for _ in range(SETTLING_ROUNDS):
            for ledger in self.ledgers.values():
                for message in outgoing(ledger):
                    self.receive(message)
        assert not any(
            channel.outbox
            for ledger in self.ledgers.values()
            for channel in ledger.channels.values()
        )
        self.quota_never_exceeds_the_limit()


TestTwoRegions = TwoRegions.TestCase
TestTwoRegions.settings = settings(max_examples=60, stateful_step_count=40)


def test_lowered_limit_is_in_force_once_the_debt_is_repaid():
    home = RegionLedger(REGIONS[0], {TEAM: REGIONS[0]})
    away = RegionLedger(REGIONS[1], {TEAM: REGIONS[0]})
    apply_region_record(home, LimitChanged(id=new_id(), team=TEAM, units=8))
    apply_region_record(home, QuotaSent(id=new_id(), to=REGIONS[1], team=TEAM, units=6))
    (offer,) = outgoing(home)
    apply_region_record(away, on_message(away, offer, new_id()))
    apply_region_record(home, LimitChanged(id=new_id(), team=TEAM, units=3))
    assert not home.in_force(TEAM)
    apply_region_record(away, QuotaSent(id=new_id(), to=REGIONS[0], team=TEAM, units=4))
    apply_region_record(home, on_message(home, outgoing(away)[0], new_id()))
    assert home.in_force(TEAM)
    assert home.team(TEAM).quota + away.team(TEAM).quota == 3


def test_early_and_forged_messages_change_nothing():
    ledger = RegionLedger(REGIONS[1], {TEAM: REGIONS[0]})
    early = Offer(sender=REGIONS[0], to=REGIONS[1], transfers=(Transfer(2, TEAM, 5),))
    assert on_message(ledger, early, new_id()) is None
    forged = Ack(sender=REGIONS[0], to=REGIONS[1], number=7)
    assert on_message(ledger, forged, new_id()) is None
    assert apply_region_record(ledger, QuotaAcked(id=new_id(), to=REGIONS[0], number=7))


def test_planned_transfer_is_limited_by_surplus_and_shortfall():
    row = TeamQuota(quota=10, held=4)
    assert plan_transfer(row, own_need=5, other_need=9, other_quota=2) == 5
    assert plan_transfer(row, own_need=0, other_need=99, other_quota=0) == 6
    assert plan_transfer(row, own_need=10, other_need=9, other_quota=2) == 0
    assert plan_transfer(row, own_need=5, other_need=4, other_quota=4) == 0
