"""HTTP client of an entry for the platform's services and for peers."""

import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
)
from result import Err, Ok, Result

from hickoryplank.coordinator.ports import CallFault, CallFaultKind

__all__ = ["HttpClient", "HttpResponse"]

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


class HttpClient:
    """HTTP client with a connection pool per address and a time-out for each call."""

    def __init__(self) -> None:
        self._session: ClientSession | None = None

    def _open_session(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(
                connector=TCPConnector(
                    limit=0,
                    limit_per_host=CONNECTIONS_PER_ADDRESS,
                    keepalive_timeout=KEEPALIVE_SECONDS,
                    use_dns_cache=False,
                ),
                cookie_jar=DummyCookieJar(),
                auto_decompress=False,
            )
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
    ) -> Result[HttpResponse, CallFault]:
        """Make one call and return the response.

        :param timeout_s: bound on the whole call, in seconds.
        :return: ``Err`` with ``NOT_DONE`` only if no connection could be opened, and
            with ``UNKNOWN`` if the call may have had an effect.
        """
        request_headers = (
            {"Content-Type": "application/json"} if body is not None else {}
        )
        if headers:
            request_headers.update(headers)
        try:
            async with self._open_session().request(
                method,
                f"http://{address}{path}",
                data=body,
                headers=request_headers,
                timeout=ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as resp:
                return Ok(HttpResponse(resp.status, await resp.read()))
        except ClientConnectorError as exc:
            return Err(CallFault(CallFaultKind.NOT_DONE, f"connection failed: {exc}"))
        except TimeoutError:
            return Err(
                CallFault(CallFaultKind.UNKNOWN, f"no response within {timeout_s} s")
            )
        except (ClientError, OSError) as exc:
            return Err(CallFault(CallFaultKind.UNKNOWN, f"{type(exc).__name__}: {exc}"))

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
