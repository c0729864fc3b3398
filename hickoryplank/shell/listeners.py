"""Listeners of a node, bound before it joins the table of nodes."""

import socket
from dataclasses import dataclass

import msgspec

from hickoryplank.addresses import with_bound_port
from hickoryplank.settings import NodeSettings
from hickoryplank.shell.peer_transport import PeerListener

__all__ = ["Listeners", "open_listeners"]


@dataclass(frozen=True)
class Listeners:
    """The bound addresses of a node.

    :param api: bound for callers and operators. It does not listen yet, so that
        connections are refused until they are served.
    :param peers: listens for the other nodes.
    """

    api: socket.socket
    peers: PeerListener

    def with_bound_ports(self, node: NodeSettings) -> NodeSettings:
        """Return the settings with the ports that were bound in place of port 0."""
        api, peers = self.api.getsockname()[1], self.peers.port
        return msgspec.structs.replace(
            node,
            api_bind=with_bound_port(node.api_bind, api),
            api_address=with_bound_port(node.api_address, api),
            peer_bind=with_bound_port(node.peer_bind, peers),
            peer_address=with_bound_port(node.peer_address, peers),
        )


def open_listeners(node: NodeSettings) -> Listeners:
    """Bind the addresses of a node.

    :raises OSError: if an address cannot be bound; the message names it.
    """
    return Listeners(_bind(node.api_bind), PeerListener(node.peer_bind))


def _bind(address: str) -> socket.socket:
    host, port = address.rsplit(":", 1)
    host = host.strip("[]")
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
    except OSError as exc:
        sock.close()
        raise OSError(f"cannot listen for callers on {address}: {exc}") from exc
    return sock
