"""Records that operators and executors write to the store."""

import logging
import re
from ipaddress import AddressValueError, IPv4Address

import msgspec
from result import Err, Ok, Result

from hickoryplank.coordinator.ports import (
    ListingDecoder,
    OperatorRecord,
    OperatorRecordCodec,
    WaveOrder,
    ZoneEvacuation,
)
from hickoryplank.core.ids import (
    EndpointId,
    PoolId,
    QueueId,
    TeamId,
    VmId,
    WaveId,
    Zone,
)
from hickoryplank.jobs.configuration import (
    AdviceTiming,
    Configuration,
    Pool,
    Queue,
    Team,
)
from hickoryplank.jobs.endpoints import Listing
from hickoryplank.jobs.records import Record
from hickoryplank.jobs.sizes import Size
from hickoryplank.platform.decoding import Integer, Natural, decode_json

__all__ = ["PlatformListingDecoder", "PlatformOperatorRecordCodec", "to_size"]

logger = logging.getLogger(__name__)

_CONFIG_KEY = "config"
_WAVE_PREFIX = "wave/"
_EVACUATION_PREFIX = "evacuate/"


class _Size(msgspec.Struct, frozen=True):
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0


class _Advice(msgspec.Struct):
    decide_ms: int = 0
    #: Time that each endpoint named in a request adds to its answer.
    interval_ms: int = 0
    valid_ms: int = 0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    #: Added to the stretched run time of the longest chain of steps; not a latency.
    target_latency_ms: int = 0
    #: Calls need no API key.
    public: bool = False
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: str
    enforces_capacity: bool = False
    standby: bool = False


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    #: Relative share of the capacity while it does not suffice for all tenants.
    weight: float = 1.0
    #: Upper limit of the total size of its running tasks. A resource with 0 is not
    #: limited.
    cap: _Size = _Size()


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] = []


class _Wave(msgspec.Struct):
    machines: list[str]
    #: Counted from when the operator writes the record.
    deadline_s: float = 0.0
    #: Largest number of machines down for the wave at once; unlike a tenant's ``cap``.
    cap: int = 1


class _Evacuation(msgspec.Struct):
    """The request has no fields; its key names the zone."""


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Size
    labels: list[str] = []
    #: Start of this incarnation of the executor, not of the machine.
    born: Natural = 0
    remaining_ms: Integer = 0


class _Status(msgspec.Struct):
    state: str


_config_decoder = msgspec.json.Decoder(_Config)
_wave_decoder = msgspec.json.Decoder(_Wave)
_evacuation_decoder = msgspec.json.Decoder(_Evacuation)
_server_decoder = msgspec.json.Decoder(_Server)
_LISTED_STATES = ("ready", "draining")
#: Ids of executors are sent in a header.
_HEADER_TOKEN = re.compile(r"[!-~]+")
_PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535


def to_size(size: _Size) -> Size:
    """Convert a size to the type of the engine."""
    return Size(size.cpu, size.mem_mb, size.gpu)


class PlatformListingDecoder(ListingDecoder):
    """Decodes the records of executors in the topic ``keyed.servers``."""

    def decode(self, record: Record) -> Listing | None:
        """Return the listing, or none if the record holds no valid one."""
        match decode_json(_server_decoder, record.value):
            case Ok(server):
                return self._listing(record, server)
            case Err(detail):
                logger.info(
                    "malformed listing ignored",
                    extra={"endpoint": record.key, "detail": detail},
                )
                return None

    def _listing(self, record: Record, server: _Server) -> Listing | None:
        fault = _listing_fault(record.key, server)
        if fault:
            logger.info(
                "invalid listing ignored",
                extra={"endpoint": record.key[:100], "detail": fault[:200]},
            )
            return None
        return Listing(
            id=EndpointId(record.key),
            born_ms=server.born,
            address=server.address,
            pool=PoolId(server.service),
            zone=Zone(server.zone),
            capacity=to_size(server.capacity),
            labels=tuple(server.labels),
            draining=server.state == "draining",
            drain_remaining_ms=server.remaining_ms,
        )


def _listing_fault(key: str, server: _Server) -> str:
    """Return why an entry names no executor to use; empty if it names one."""
    if server.state not in _LISTED_STATES:
        return f"state {server.state!r}, expected one of {', '.join(_LISTED_STATES)}"
    if not _HEADER_TOKEN.fullmatch(key):
        return f"id {key!r} can't be sent in a header"
    host, _, port = server.address.rpartition(":")
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return f"address {server.address!r}, expected a port from 1 to {MAX_PORT}"
    try:
        IPv4Address(host)
    except AddressValueError:
        return f"address {server.address!r}, expected an IPv4 address and a port"
    return ""


class PlatformOperatorRecordCodec(OperatorRecordCodec):
    """Decodes and encodes records of the topics ``keyed.op`` and ``keyed.status``."""

    def decode(self, record: Record) -> OperatorRecord | None:
        """Return the decoded record, or none if it is malformed or of another kind."""
        decoded: Result[OperatorRecord, str]
        if record.key == _CONFIG_KEY:
            decoded = decode_json(_config_decoder, record.value).map(_configuration)
        elif record.key.startswith(_WAVE_PREFIX):
            decoded = decode_json(_wave_decoder, record.value).map(
                lambda wave: _wave_order(record, wave)
            )
        elif record.key.startswith(_EVACUATION_PREFIX):
            decoded = _zone_evacuation(record)
        else:
            return None
        match decoded:
            case Ok(value):
                return value
            case Err(detail):
                logger.error(
                    "malformed operator record ignored",
                    extra={"key": record.key, "detail": detail},
                )
                return None

    def encode_wave_status(self, wave: WaveId, *, completed: bool) -> Record:
        """Return the record that reports the state of a wave."""
        status = _Status("completed" if completed else "running")
        return Record(_WAVE_PREFIX + wave, msgspec.json.encode(status))


def _wave_order(record: Record, wave: _Wave) -> WaveOrder:
    return WaveOrder(
        id=WaveId(record.key[len(_WAVE_PREFIX) :]),
        vms=tuple(VmId(machine) for machine in wave.machines),
        within_s=wave.deadline_s,
        max_concurrent=wave.cap,
    )


def _zone_evacuation(record: Record) -> Result[OperatorRecord, str]:
    """Return the request to evacuate a zone, or its removal.

    The key alone makes the request. One with an odd value is logged and applied: it
    would else be missing after a read of the newest records, as if it was removed.
    """
    zone = Zone(record.key[len(_EVACUATION_PREFIX) :])
    if not zone:
        return Err("key names no zone, expected one after the prefix")
    if not record.value:
        return Ok(ZoneEvacuation(zone, requested=False))
    match decode_json(_evacuation_decoder, record.value):
        case Err(detail):
            logger.error(
                "odd value of a request to evacuate a zone, expected {}; applied",
                extra={"key": record.key, "detail": detail},
            )
    return Ok(ZoneEvacuation(zone, requested=True))


def _configuration(config: _Config) -> Configuration:
    return Configuration.build(
        config.version,
        [_queue(route) for route in config.routes],
        [
            Pool(PoolId(one.name), one.enforces_capacity, one.standby)
            for one in config.services
        ],
        [
            Team(
                TeamId(one.name), frozenset(one.api_keys), one.weight, to_size(one.cap)
            )
            for one in config.tenants
        ],
    )


def _queue(route: _Route) -> Queue:
    advice = route.advice
    return Queue(
        id=QueueId(route.name),
        host=route.host,
        prefix=route.path_prefix,
        pool=PoolId(route.service),
        priority=route.priority,
        attempts=route.attempts,
        stretch=route.stretch,
        slack_ms=route.target_latency_ms,
        public=route.public,
        advice=AdviceTiming(advice.decide_ms, advice.interval_ms, advice.valid_ms)
        if advice is not None
        else None,
    )
