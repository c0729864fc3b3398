"""Limits that span regions, as quotas in each region's own log."""

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
    "plan_transfer",
]


class Transfer(msgspec.Struct, frozen=True):
    """Quota in transfer from one region to another.

    :param number: sequence number of the transfer between the two regions, from 1.
    """

    number: int
    team: TeamId
    units: int


class LimitChanged(msgspec.Struct, frozen=True, tag="limit_changed", kw_only=True):
    """An operator sets the limit of a team, in the log of the team's home region."""

    id: RecordId
    team: TeamId
    units: int


class UnitsHeld(msgspec.Struct, frozen=True, tag="units_held", kw_only=True):
    """The nodes of the region now hold ``units`` of the team's quota."""

    id: RecordId
    team: TeamId
    units: int


class QuotaSent(msgspec.Struct, frozen=True, tag="quota_sent", kw_only=True):
    """The region transfers quota that no node holds to another region."""

    id: RecordId
    to: Region
    team: TeamId
    units: int


class QuotaReceived(msgspec.Struct, frozen=True, tag="quota_received", kw_only=True):
    """The region accepts a transfer from another region."""

    id: RecordId
    sender: Region
    transfer: Transfer


class QuotaAcked(msgspec.Struct, frozen=True, tag="quota_acked", kw_only=True):
    """The receiver has accepted every transfer up to ``number``."""

    id: RecordId
    to: Region
    number: int


RegionRecord = LimitChanged | UnitsHeld | QuotaSent | QuotaReceived | QuotaAcked


class Offer(msgspec.Struct, frozen=True, tag="offer", kw_only=True):
    """The transfers in an outbox, repeated until they are acknowledged."""

    sender: Region
    to: Region
    transfers: tuple[Transfer, ...]


class Ack(msgspec.Struct, frozen=True, tag="ack", kw_only=True):
    """The number of the last transfer that is folded in the receiver's log."""

    sender: Region
    to: Region
    number: int


RegionMessage = Offer | Ack


class Channel(msgspec.Struct):
    """State of the transfers between this region and another one.

    :param sent: number of the last transfer sent.
    :param received: number of the last transfer accepted.
    :param outbox: transfers that are not acknowledged yet, in order.
    """

    sent: int = 0
    received: int = 0
    outbox: list[Transfer] = msgspec.field(default_factory=list)


class TeamQuota(msgspec.Struct):
    """The part of a team's limit that a region may use.

    :param quota: units that belong to the region.
    :param held: units of the quota that nodes of the region hold.
    :param debt: units by which the regions still exceed a lowered limit; only
        used in the home region.
    """

    quota: int = 0
    held: int = 0
    debt: int = 0

    @property
    def free(self) -> int:
        """Units of the quota that no node holds."""
        return self.quota - self.held


class RegionLedger(msgspec.Struct):
    """The quotas and transfers of one region, folded from its own log.

    Quota moves between regions by transfers. The record of the sender lowers its
    quota and keeps the transfer in an outbox. The record of the receiver raises
    its quota once for each transfer, in order. The sender then discards the
    transfers that the receiver has acknowledged. A lost, repeated or late message
    delays quota but never duplicates it.

    Limits are edited in the home region of the team. A limit lowered below the
    free quota of the home leaves a debt, which incoming transfers repay. The new
    limit is in force in all regions once the debt is zero.

    :param homes: the home region of each team.
    """

    region: Region
    homes: dict[TeamId, Region]
    teams: dict[TeamId, TeamQuota] = msgspec.field(default_factory=dict)
    limits: dict[TeamId, int] = msgspec.field(default_factory=dict)
    channels: dict[Region, Channel] = msgspec.field(default_factory=dict)

    def team(self, team: TeamId) -> TeamQuota:
        """Return the quota of ``team``, initially zero."""
        return self.teams.setdefault(team, TeamQuota())

    def channel(self, region: Region) -> Channel:
        """Return the state of the transfers with ``region``."""
        return self.channels.setdefault(region, Channel())

    def in_force(self, team: TeamId) -> bool:
        """Return whether the last limit set here is in force in every region."""
        return self.team(team).debt == 0


def apply_region_record(ledger: RegionLedger, record: RegionRecord) -> list[Fault]:
    """Fold one record of the region's log, completely or not at all."""
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
        message = f"the limit of team {record.team} can be edited only in region {home}"
        return [Fault(FaultCode.NOT_HOLDER, message)]
    if record.units < 0:
        return [Fault(FaultCode.BAD_VALUE, "a limit must be 0 or more")]
    row = ledger.team(record.team)
    change = record.units - ledger.limits.get(record.team, 0)
    ledger.limits[record.team] = record.units
    row.debt -= change
    if row.debt < 0:
        row.quota, row.debt = row.quota - row.debt, 0
    _repay_debt(row)
    return []


def _repay_debt(row: TeamQuota) -> None:
    """Repay the debt with quota that no node holds."""
    repaid = min(row.debt, row.free)
    row.quota -= repaid
    row.debt -= repaid


def _apply_held(ledger: RegionLedger, record: UnitsHeld) -> list[Fault]:
    row = ledger.team(record.team)
    if not 0 <= record.units <= max(row.quota, row.held):
        message = (
            f"cannot change the units held: region {ledger.region} has {row.free}"
            f" free units of team {record.team}"
        )
        return [Fault(FaultCode.NO_UNITS, message)]
    row.held = record.units
    _repay_debt(row)
    return []


def _apply_sent(ledger: RegionLedger, record: QuotaSent) -> list[Fault]:
    row = ledger.team(record.team)
    if record.to == ledger.region or not 0 < record.units <= row.free:
        message = (
            f"cannot send quota: region {ledger.region} has {row.free} free units of"
            f" team {record.team}"
        )
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
    _repay_debt(row)
    return []


def _apply_acked(ledger: RegionLedger, record: QuotaAcked) -> list[Fault]:
    channel = ledger.channel(record.to)
    if record.number > channel.sent:
        message = f"region {record.to} acknowledges transfer {record.number}"
        return [Fault(FaultCode.BAD_VALUE, f"{message}, which was never sent")]
    channel.outbox = [
        transfer for transfer in channel.outbox if transfer.number > record.number
    ]
    return []


def outgoing(ledger: RegionLedger) -> list[RegionMessage]:
    """Return the messages to send periodically to the other regions."""
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
    """Return the record to append in response to a message, if any.

    Each offer yields at most one transfer; the others are offered again later.
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


def plan_transfer(
    row: TeamQuota, own_need: int, other_need: int, other_quota: int
) -> int:
    """Return how many units to transfer to another region.

    A region transfers only units that neither it nor its nodes need, and never
    more than the other region lacks, so that two regions do not send the same
    units back and forth.

    :param own_need: units that this region needs.
    :param other_need: units that the other region needs, as last known.
    :param other_quota: quota of the other region, as last known.
    """
    lacking = max(0, other_need - other_quota)
    return max(0, min(lacking, row.free, row.quota - own_need))
