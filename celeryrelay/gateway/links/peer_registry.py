"""The links of a daemon to all registered daemons."""

from celeryrelay.core import clock as clocks
from celeryrelay.gateway import directory, interfaces
from celeryrelay.gateway.links import peer_links


class PeerRegistry:
    """Creates and checks the links to other daemons."""

    def __init__(
        self,
        own_name: str,
        server_directory: directory.Directory,
        connector: interfaces.LinkConnector,
        clock: clocks.Clock,
    ) -> None:
        """Find daemons in `server_directory`; open links with `connector`."""
        self._own_name = own_name
        self._directory = server_directory
        self._connector = connector
        self._clock = clock
        self._peers: dict[str, peer_links.Peer] = {}

    def peer(self, name: str) -> peer_links.Peer | None:
        """Return the peer with this name, None if it is not registered."""
        member = self._directory.daemons.get(name)
        if member is None or not member.link_address:
            return None
        peer = self._peers.get(name)
        if peer is not None and peer.member.start == member.start:
            return peer
        if peer is not None:
            # The daemon was restarted, so its earlier leases are lost.
            peer.close()
        peer = peer_links.Peer(
            self._own_name, member, self._connector, self._clock
        )
        self._peers[name] = peer
        return peer

    def has_ended(self, name: str) -> bool:
        """Return whether nothing listened at a daemon's address just now."""
        peer = self._peers.get(name)
        return peer is not None and peer.has_ended

    def maintain(self) -> None:
        """Check all links and remove daemons that are no longer registered."""
        for name, peer in tuple(self._peers.items()):
            peer.check_liveness()
            if name not in self._directory.daemons and not peer.load:
                self._peers.pop(name).close()
