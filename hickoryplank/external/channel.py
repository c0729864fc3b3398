"""HTTP calls to one peer over a bounded pool of connections.

An answer is handed on only if it is whole and belongs to its request: it repeats the
request's id and states the length of its body. A pool in which a connection went
silent is retired: calls under way on its other connections may end, and new calls
open new connections.
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
    "Reply",
    "TlsOptions",
    "make_tls_context",
]

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 5.0
KEEPALIVE_SECONDS = 15.0
MAX_CONNECTIONS = 64
MAX_ANSWER_BYTES = 64 * 1024 * 1024
_HEADERS = {"accept-encoding": "identity"}


class TlsOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Paths of the PEM files for TLS.

    :param ca_file: certificates that the peer's is verified against; empty takes the
        system's.
    :param cert_file: the client's own certificate; empty sends none.
    :param key_file: its private key; empty if ``cert_file`` holds it too.
    """

    ca_file: str = ""
    cert_file: str = ""
    key_file: str = ""


class ChannelOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a channel.

    :param connect_seconds: bound on opening a connection, or waiting for a free one.
    :param read_seconds: bound on the silence of a connection during a call.
    :param max_connections: bound on open connections.
    :param max_answer_bytes: bound on the body of one answer.
    :param tls: use TLS with these files; ``None`` speaks plain HTTP.
    """

    connect_seconds: float = CONNECT_TIMEOUT_SECONDS
    read_seconds: float = READ_TIMEOUT_SECONDS
    max_connections: int = MAX_CONNECTIONS
    max_answer_bytes: int = MAX_ANSWER_BYTES
    tls: TlsOptions | None = None


class CallError(Enum):
    """Whether a failed call can have had an effect."""

    NOT_SENT = "not_sent"
    LOST = "lost"


class CallFailure(msgspec.Struct, frozen=True):
    """No whole answer came back."""

    error: CallError
    detail: str


class Reply(msgspec.Struct, frozen=True):
    """A whole answer that belongs to its request."""

    status: int
    headers: httpx.Headers
    body: bytes


class _Pool:
    """One generation of connections."""

    def __init__(self, transport: httpx.AsyncHTTPTransport) -> None:
        self.transport = transport
        self.calls = 0
        self.retired = False

    async def close_if_unused(self) -> None:
        if self.retired and self.calls == 0:
            with anyio.CancelScope(shield=True):
                await self.transport.aclose()


class Channel:
    """Calls to one peer.

    :param address: the peer's ``host:port``.
    :param context: TLS context to share between channels; made from the options
        without it.
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
        self._pool = _Pool(self._open())

    async def call(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str | bytes] | None = None,
        params: Mapping[str, str | int | float] | None = None,
        body: bytes = b"",
        read_seconds: float | None = None,
    ) -> Result[Reply, CallFailure]:
        """Send one request and return its whole answer.

        :param read_seconds: bound on silence in place of the channel's own.
        """
        request = uuid4().hex
        pool = self._pool
        pool.calls += 1
        try:
            response = await pool.transport.handle_async_request(
                httpx.Request(
                    method,
                    httpx.URL(self._base_url + path, params=params),
                    headers={
                        **_HEADERS,
                        **(headers or {}),
                        wire.REQUEST_HEADER: request,
                    },
                    content=body,
                    extensions={"timeout": self._timeout(read_seconds).as_dict()},
                )
            )
            async with aclosing(response):
                answer = await self._body(response)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            return Err(CallFailure(CallError.NOT_SENT, repr(exc)))
        except httpx.HTTPError as exc:
            self._retire(pool)
            return Err(CallFailure(CallError.LOST, repr(exc)))
        finally:
            pool.calls -= 1
            await pool.close_if_unused()
        return _whole(response, answer, request)

    async def renew(self) -> None:
        """Open new connections for new calls."""
        pool = self._pool
        self._retire(pool)
        await pool.close_if_unused()

    async def aclose(self) -> None:
        """Close every connection."""
        self._pool.retired = True
        await self._pool.transport.aclose()

    async def _body(self, response: httpx.Response) -> bytes:
        body = bytearray()
        async for chunk in response.aiter_raw():
            body += chunk
            if len(body) > self._options.max_answer_bytes:
                raise httpx.ReadError("the answer is too long")
        return bytes(body)

    def _open(self) -> httpx.AsyncHTTPTransport:
        most = self._options.max_connections
        return httpx.AsyncHTTPTransport(
            verify=self._context,
            trust_env=False,
            limits=httpx.Limits(
                max_connections=most,
                max_keepalive_connections=most,
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

    def _retire(self, pool: _Pool) -> None:
        if self._pool is pool and not pool.retired:
            pool.retired = True
            self._pool = _Pool(self._open())


def make_tls_context(tls: TlsOptions | None) -> ssl.SSLContext:
    """Return the context that a client verifies its peer with."""
    if tls is None:
        return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context = ssl.create_default_context(cafile=tls.ca_file or None)
    if tls.cert_file:
        context.load_cert_chain(tls.cert_file, tls.key_file or None)
    return context


def _whole(
    response: httpx.Response, body: bytes, request: str
) -> Result[Reply, CallFailure]:
    headers = response.headers
    headers.encoding = "latin-1"
    if headers.get(wire.REQUEST_HEADER) != request:
        return Err(CallFailure(CallError.LOST, "the answer is not to this request"))
    encoded = headers.get("content-encoding", "identity") != "identity"
    if encoded or headers.get(wire.LENGTH_HEADER) != str(len(body)):
        return Err(CallFailure(CallError.LOST, "the answer is not whole"))
    return Ok(Reply(response.status_code, headers, body))
