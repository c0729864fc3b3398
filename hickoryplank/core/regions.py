"""Upper limits that span regions: quotas in each region's own log.

Each region has a ledger, folded from its own log, and serves its callers with
the quota that it holds. Quota moves by transfers. The giver's record lowers its
quota and keeps the transfer in an outbox; the receiver's record raises its own
quota, once for each transfer, in order; the giver then forgets what the
receiver has acknowledged. A message that is lost, repeated or late holds quota
back for a while and never doubles it.

One region, the home of a team, takes the operators' changes of the limit. A
limit lowered below what the home holds leaves a debt, which incoming transfers
pay off; the new limit is in force everywhere once the debt is zero.
"""

import msgspec

from hickoryplank.core.errors import Fault, FaultCode
from hickoryplank.core.ids import RecordId, Region, TeamId

__all__ = [
    "Ack",
    "Channel",
    "LimitChanged",
    "Offer",
    "QuotaAcked",
    "QuotaReceived",
    "QuotaSent",
    "RegionLedger",
    "RegionMessage",
    "RegionRecord",
    "TeamQuota",
    "Transfer",
    "UnitsHeld",
    "apply_region_record",
    "on_message",
    "outgoing",
    "plan_gift",
]


class Transfer(msgspec.Struct, frozen=True):
    """Quota on its way from one region to another.

    :param number: counts the giver's transfers to this receiver, from 1.
    """

    number: int
    team: TeamId
    units: int


class LimitChanged(msgspec.Struct, frozen=True, tag="limit_changed", kw_only=True):
    """An operator sets the limit of a team, in the log of the team's home."""

    id: RecordId
    team: TeamId
    units: int


class UnitsHeld(msgspec.Struct, frozen=True, tag="units_held", kw_only=True):
    """The region's nodes hold ``units`` of the team's quota from now on."""

    id: RecordId
    team: TeamId
    units: int


class QuotaSent(msgspec.Struct, frozen=True, tag="quota_sent", kw_only=True):
    """The region gives quota, which none of its nodes holds, to another region."""

    id: RecordId
    to: Region
    team: TeamId
    units: int


class QuotaReceived(msgspec.Struct, frozen=True, tag="quota_received", kw_only=True):
    """The region takes in a transfer from another one."""

    id: RecordId
    sender: Region
    transfer: Transfer


class QuotaAcked(msgspec.Struct, frozen=True, tag="quota_acked", kw_only=True):
    """The receiver has taken in every transfer up to ``number``."""

    id: RecordId
    to: Region
    number: int


RegionRecord = LimitChanged | UnitsHeld | QuotaSent | QuotaReceived | QuotaAcked


class Offer(msgspec.Struct, frozen=True, tag="offer", kw_only=True):
    """The transfers in an outbox, sent again until they are acknowledged."""

    sender: Region
    to: Region
    transfers: tuple[Transfer, ...]


class Ack(msgspec.Struct, frozen=True, tag="ack", kw_only=True):
    """The number up to which transfers are folded in the receiver's log."""

    sender: Region
    to: Region
    number: int


RegionMessage = Offer | Ack


class Channel(msgspec.Struct):
    """The transfers between this region and another one.

    :param sent: number of the last transfer given.
    :param received: number of the last transfer taken in.
    :param outbox: transfers that are not yet acknowledged, in order.
    """

    sent: int = 0
    received: int = 0
    outbox: list[Transfer] = msgspec.field(default_factory=list)


class TeamQuota(msgspec.Struct):
    """What a region may use of a team's limit.

    :param quota: units that belong to the region.
    :param held: units of the quota that nodes of the region hold.
    :param debt: units by which a lowered limit is still exceeded; home only.
    """

    quota: int = 0
    held: int = 0
    debt: int = 0

    @property
    def free(self) -> int:
        """Units that no node holds."""
        return self.quota - self.held


class RegionLedger(msgspec.Struct):
    """The quotas and channels of one region, folded from its own log."""

    region: Region
    homes: dict[TeamId, Region]
    teams: dict[TeamId, TeamQuota] = msgspec.field(default_factory=dict)
    limits: dict[TeamId, int] = msgspec.field(default_factory=dict)
    channels: dict[Region, Channel] = msgspec.field(default_factory=dict)

    def team(self, team: TeamId) -> TeamQuota:
        """Return the quota of ``team``, which starts at nothing."""
        return self.teams.setdefault(team, TeamQuota())

    def channel(self, region: Region) -> Channel:
        """Return the channel to ``region``."""
        return self.channels.setdefault(region, Channel())

    def in_force(self, team: TeamId) -> bool:
        """Return whether the last limit set here holds in every region."""
        return self.team(team).debt == 0


def apply_region_record(ledger: RegionLedger, record: RegionRecord) -> list[Fault]:
    """Fold one record of the region's log, whole or not at all."""
    match record:
        case LimitChanged():
            return _apply_limit(ledger, record)
        case UnitsHeld():
            return _apply_held(ledger, record)
        case QuotaSent():
            return _apply_sent(ledger, record)
        case QuotaReceived():
            return _apply_received(ledger, record)
        case QuotaAcked():
            return _apply_acked(ledger, record)


def _apply_limit(ledger: RegionLedger, record: LimitChanged) -> list[Fault]:
    home = ledger.homes.get(record.team)
    if home != ledger.region:
        message = f"the limit of team {record.team} is edited in region {home}"
        return [Fault(FaultCode.NOT_HOLDER, message)]
    if record.units < 0:
        return [Fault(FaultCode.BAD_VALUE, "a limit is 0 or more")]
    row = ledger.team(record.team)
    change = record.units - ledger.limits.get(record.team, 0)
    ledger.limits[record.team] = record.units
    row.debt -= change
    if row.debt < 0:
        row.quota, row.debt = row.quota - row.debt, 0
    _pay(row)
    return []


def _pay(row: TeamQuota) -> None:
    """Pay off the debt with quota that no node holds."""
    paid = min(row.debt, row.free)
    row.quota -= paid
    row.debt -= paid


def _apply_held(ledger: RegionLedger, record: UnitsHeld) -> list[Fault]:
    row = ledger.team(record.team)
    if not 0 <= record.units <= max(row.quota, row.held):
        message = f"region {ledger.region} has {row.free} free units of {record.team}"
        return [Fault(FaultCode.NO_UNITS, message)]
    row.held = record.units
    _pay(row)
    return []


def _apply_sent(ledger: RegionLedger, record: QuotaSent) -> list[Fault]:
    row = ledger.team(record.team)
    if record.to == ledger.region or not 0 < record.units <= row.free:
        message = f"region {ledger.region} has {row.free} free units of {record.team}"
        return [Fault(FaultCode.NO_UNITS, message)]
    row.quota -= record.units
    channel = ledger.channel(record.to)
    channel.sent += 1
    channel.outbox.append(Transfer(channel.sent, record.team, record.units))
    return []


def _apply_received(ledger: RegionLedger, record: QuotaReceived) -> list[Fault]:
    channel = ledger.channel(record.sender)
    if record.transfer.number != channel.received + 1:
        message = f"transfer {record.transfer.number} does not follow"
        return [Fault(FaultCode.STALE, f"{message} {channel.received}")]
    channel.received += 1
    row = ledger.team(record.transfer.team)
    row.quota += record.transfer.units
    _pay(row)
    return []


def _apply_acked(ledger: RegionLedger, record: QuotaAcked) -> list[Fault]:
    channel = ledger.channel(record.to)
    if record.number > channel.sent:
        message = f"region {record.to} acknowledges transfer {record.number}"
        return [Fault(FaultCode.BAD_VALUE, f"{message}, which was never sent")]
    channel.outbox = [move for move in channel.outbox if move.number > record.number]
    return []


def outgoing(ledger: RegionLedger) -> list[RegionMessage]:
    """Return what to send to the other regions at each beat."""
    messages: list[RegionMessage] = []
    for region, channel in ledger.channels.items():
        if channel.outbox:
            offer = Offer(
                sender=ledger.region, to=region, transfers=tuple(channel.outbox)
            )
            messages.append(offer)
        if channel.received:
            ack = Ack(sender=ledger.region, to=region, number=channel.received)
            messages.append(ack)
    return messages


def on_message(
    ledger: RegionLedger, message: RegionMessage, record_id: RecordId
) -> RegionRecord | None:
    """Return the record with which the region answers a message, if any.

    An offer is taken in one transfer at a time; the rest is offered again.
    """
    channel = ledger.channel(message.sender)
    match message:
        case Offer():
            for transfer in message.transfers:
                if transfer.number == channel.received + 1:
                    return QuotaReceived(
                        id=record_id, sender=message.sender, transfer=transfer
                    )
        case Ack():
            waiting = channel.outbox and channel.outbox[0].number <= message.number
            if waiting and message.number <= channel.sent:
                return QuotaAcked(
                    id=record_id, to=message.sender, number=message.number
                )
    return None


def plan_gift(row: TeamQuota, own_need: int, other_need: int, other_quota: int) -> int:
    """Return how many units to give to another region, from its last known state.

    A region gives what neither it nor its nodes need, and never more than the
    other one lacks, so that two regions do not send the same units to and fro.
    """
    lacking = max(0, other_need - other_quota)
    return max(0, min(lacking, row.free, row.quota - own_need))
