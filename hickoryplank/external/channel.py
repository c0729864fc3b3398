"""HTTP calls to one server over a bounded connection pool.

A response is passed on only if it is complete and belongs to its request: it must
echo the request's id and state the length of its body. After a lost response the
connection pool is retired: calls in progress on its other connections may complete,
and new calls open new connections.
"""

import ssl
from collections.abc import Mapping
from contextlib import aclosing
from enum import Enum
from uuid import uuid4

import anyio
import httpx
import msgspec
from result import Err, Ok, Result

from hickoryplank.external import wire

__all__ = [
    "CallError",
    "CallFailure",
    "Channel",
    "ChannelOptions",
    "HttpResponse",
    "TlsOptions",
    "make_tls_context",
]

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 5.0
KEEPALIVE_SECONDS = 15.0
MAX_CONNECTIONS = 64
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_HEADERS = {"accept-encoding": "identity"}


class TlsOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Paths of PEM files for TLS.

    :param ca_file: CA certificates that the server is verified against; the system's
        if empty.
    :param cert_file: client certificate; none is sent if empty.
    :param key_file: private key of the client certificate; empty if ``cert_file``
        contains it.
    """

    ca_file: str = ""
    cert_file: str = ""
    key_file: str = ""


class ChannelOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Time-outs and limits of a channel.

    :param connect_seconds: time-out for opening a connection, and for waiting for a
        free one.
    :param read_seconds: time-out for a connection without traffic during a call.
    :param max_connections: most open connections.
    :param max_response_bytes: largest response body.
    :param tls: files for TLS; plain HTTP is used if ``None``.
    """

    connect_seconds: float = CONNECT_TIMEOUT_SECONDS
    read_seconds: float = READ_TIMEOUT_SECONDS
    max_connections: int = MAX_CONNECTIONS
    max_response_bytes: int = MAX_RESPONSE_BYTES
    tls: TlsOptions | None = None


class CallError(Enum):
    """Whether a failed call may have had an effect.

    ``NOT_SENT``: no connection was available, so it had none. ``LOST``: it may have,
    but no complete response was received.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"


class CallFailure(msgspec.Struct, frozen=True):
    """A call that yielded no complete response."""

    error: CallError
    detail: str


class HttpResponse(msgspec.Struct, frozen=True):
    """A complete response that belongs to its request."""

    status: int
    headers: httpx.Headers
    body: bytes


class _ConnectionPool:
    """A connection pool that is closed once it is retired and unused."""

    def __init__(self, transport: httpx.AsyncHTTPTransport) -> None:
        self.transport = transport
        self.active_calls = 0
        self.retired = False

    async def close_if_unused(self) -> None:
        if self.retired and self.active_calls == 0:
            with anyio.CancelScope(shield=True):
                await self.transport.aclose()


class Channel:
    """A client of one server.

    :param address: address of the server, as ``host:port``.
    :param options: time-outs and limits.
    :param context: TLS context to share between channels; created from ``options``
        if not given.
    """

    def __init__(
        self,
        address: str,
        options: ChannelOptions,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self._options = options
        self._context = context or make_tls_context(options.tls)
        scheme = "http" if options.tls is None else "https"
        self._base_url = f"{scheme}://{address}"
        self._pool = _ConnectionPool(self._open_transport())

    async def call(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str | bytes] | None = None,
        params: Mapping[str, str | int | float] | None = None,
        body: bytes = b"",
        read_seconds: float | None = None,
    ) -> Result[HttpResponse, CallFailure]:
        """Send one request and return the complete response.

        :param read_seconds: overrides the read time-out of the channel.
        """
        request_id = uuid4().hex
        pool = self._pool
        pool.active_calls += 1
        try:
            response = await pool.transport.handle_async_request(
                httpx.Request(
                    method,
                    httpx.URL(self._base_url + path, params=params),
                    headers={
                        **_HEADERS,
                        **(headers or {}),
                        wire.REQUEST_HEADER: request_id,
                    },
                    content=body,
                    extensions={"timeout": self._timeout(read_seconds).as_dict()},
                )
            )
            async with aclosing(response):
                response_body = await self._read_body(response)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            return Err(CallFailure(CallError.NOT_SENT, repr(exc)))
        except httpx.HTTPError as exc:
            self._retire(pool)
            return Err(CallFailure(CallError.LOST, repr(exc)))
        finally:
            pool.active_calls -= 1
            await pool.close_if_unused()
        return _check_response(response, response_body, request_id)

    async def retire_connections(self) -> None:
        """Retire the current connections, so that new calls open new ones."""
        pool = self._pool
        self._retire(pool)
        await pool.close_if_unused()

    async def aclose(self) -> None:
        """Close all connections."""
        self._pool.retired = True
        await self._pool.transport.aclose()

    async def _read_body(self, response: httpx.Response) -> bytes:
        body = bytearray()
        async for chunk in response.aiter_raw():
            body += chunk
            if len(body) > self._options.max_response_bytes:
                raise httpx.ReadError("response body exceeds the size limit")
        return bytes(body)

    def _open_transport(self) -> httpx.AsyncHTTPTransport:
        connection_limit = self._options.max_connections
        return httpx.AsyncHTTPTransport(
            verify=self._context,
            trust_env=False,
            limits=httpx.Limits(
                max_connections=connection_limit,
                max_keepalive_connections=connection_limit,
                keepalive_expiry=KEEPALIVE_SECONDS,
            ),
        )

    def _timeout(self, read_seconds: float | None) -> httpx.Timeout:
        options = self._options
        return httpx.Timeout(
            connect=options.connect_seconds,
            pool=options.connect_seconds,
            write=options.read_seconds,
            read=options.read_seconds if read_seconds is None else read_seconds,
        )

    def _retire(self, pool: _ConnectionPool) -> None:
        if self._pool is pool and not pool.retired:
            pool.retired = True
            self._pool = _ConnectionPool(self._open_transport())


def make_tls_context(tls: TlsOptions | None) -> ssl.SSLContext:
    """Return the TLS context of a client."""
    if tls is None:
        return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context = ssl.create_default_context(cafile=tls.ca_file or None)
    if tls.cert_file:
        context.load_cert_chain(tls.cert_file, tls.key_file or None)
    return context


def _check_response(
    response: httpx.Response, body: bytes, request_id: str
) -> Result[HttpResponse, CallFailure]:
    headers = response.headers
    headers.encoding = "latin-1"
    if headers.get(wire.REQUEST_HEADER) != request_id:
        return Err(CallFailure(CallError.LOST, "response belongs to another request"))
    encoded = headers.get("content-encoding", "identity") != "identity"
    if encoded or headers.get(wire.LENGTH_HEADER) != str(len(body)):
        return Err(CallFailure(CallError.LOST, "response is incomplete or encoded"))
    return Ok(HttpResponse(response.status_code, headers, body))
