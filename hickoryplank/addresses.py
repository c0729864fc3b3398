"""Addresses that name a host and a port."""

__all__ = ["with_bound_port"]


def with_bound_port(address: str, bound: int) -> str:
    """Return ``address`` with the port that was bound in place of port 0.

    :param address: ``host:port``, as configured.
    :param bound: the port that the listener has.
    """
    host, port = address.rsplit(":", 1)
    return f"{host}:{bound}" if int(port) == 0 else address
