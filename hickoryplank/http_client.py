"""HTTP client of an entry for the platform's services and for peers."""

import logging
from types import SimpleNamespace

import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
    TraceConfig,
    TraceRequestHeadersSentParams,
)
from result import Err, Ok, Result

from hickoryplank.coordinator.ports import CallFault, CallFaultKind, Permission

__all__ = ["HttpClient", "HttpResponse"]

logger = logging.getLogger(__name__)

#: Open connections to one address. The platform allows 64 to an endpoint, from all
#: entries together.
CONNECTIONS_PER_ADDRESS = 16
#: Idle time after which a connection is closed, in seconds; less than the 15 s after
#: which the platform's servers close it.
KEEPALIVE_SECONDS = 12.0


class HttpResponse(msgspec.Struct, frozen=True):
    """Status and body of an HTTP response."""

    status: int
    body: bytes


class _PermissionEnded(Exception):
    """Raised when a call is no longer permitted once it has a connection."""


async def _check_permission(
    _: ClientSession, context: SimpleNamespace, __: TraceRequestHeadersSentParams
) -> None:
    """Abort a request that isn't permitted any more, before any byte of it is sent."""
    permitted: Permission = context.trace_request_ctx
    if not permitted():
        raise _PermissionEnded


class HttpClient:
    """HTTP client with a connection pool per address and a time-out for each call."""

    def __init__(self) -> None:
        self._connector: TCPConnector | None = None
        self._session: ClientSession | None = None
        #: Session of calls that need a permission, as tracing costs processor time.
        self._guarded_session: ClientSession | None = None

    def _open_session(self, *, guarded: bool) -> ClientSession:
        if self._connector is None:
            self._connector = TCPConnector(
                limit=0,
                limit_per_host=CONNECTIONS_PER_ADDRESS,
                keepalive_timeout=KEEPALIVE_SECONDS,
                use_dns_cache=False,
            )
        if guarded:
            if self._guarded_session is None:
                trace = TraceConfig()
                trace.on_request_headers_sent.append(_check_permission)
                self._guarded_session = _new_session(self._connector, [trace])
            return self._guarded_session
        if self._session is None:
            self._session = _new_session(self._connector, [])
        return self._session

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        permitted: Permission | None = None,
    ) -> Result[HttpResponse, CallFault]:
        """Make one call and return the response.

        :param timeout_s: bound on the whole call, in seconds.
        :param permitted: called when there is a connection, right before the request
            is sent; it is sent only if this returns true. Always sent by default.
        :return: ``Err`` with ``NOT_DONE`` only if the call was not sent, and with
            ``UNKNOWN`` if it may have had an effect.
        """
        request_headers = (
            {"Content-Type": "application/json"} if body is not None else {}
        )
        if headers:
            request_headers.update(headers)
        try:
            async with self._open_session(guarded=permitted is not None).request(
                method,
                f"http://{address}{path}",
                data=body,
                headers=request_headers,
                timeout=ClientTimeout(total=timeout_s),
                allow_redirects=False,
                trace_request_ctx=permitted,
            ) as resp:
                return Ok(HttpResponse(resp.status, await resp.read()))
        except ClientConnectorError as exc:
            return Err(CallFault(CallFaultKind.NOT_DONE, f"connection failed: {exc}"))
        except _PermissionEnded:
            return Err(
                CallFault(CallFaultKind.NOT_DONE, "permission ended before the call")
            )
        except TimeoutError:
            return Err(
                CallFault(CallFaultKind.UNKNOWN, f"no response within {timeout_s} s")
            )
        except (ValueError, OverflowError) as exc:
            # The library raises these for an address or a header that can't be sent. It
            # doesn't say whether anything was sent before.
            logger.error(
                "request can't be sent",
                extra={"address": address[:100], "detail": str(exc)[:200]},
            )
            return Err(CallFault(CallFaultKind.UNKNOWN, f"{type(exc).__name__}: {exc}"))
        except (ClientError, OSError) as exc:
            return Err(CallFault(CallFaultKind.UNKNOWN, f"{type(exc).__name__}: {exc}"))

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._session, self._guarded_session):
            if session is not None:
                await session.close()
        if self._connector is not None:
            await self._connector.close()


def _new_session(connector: TCPConnector, traces: list[TraceConfig]) -> ClientSession:
    return ClientSession(
        connector=connector,
        connector_owner=False,
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        trace_configs=traces,
    )
