"""Deployment with simulated network partitions between zones."""

import dataclasses

from standins.deployment import cluster, specs

PROXIED = frozenset(('slots', 'platform', 'peers'))


@dataclasses.dataclass(frozen=True, slots=True)
class _ZoneLink:
    """Fault proxy link by which the daemons of one zone reach one process."""

    name: str
    from_zone: str
    target_zone: str


class PartitionedCluster(cluster.Cluster):
    """Cluster in which each zone reaches each process over its own link.

    All replicas of a group replicate from the primary over one shared link.
    Replication can therefore be cut for all replicas of the group at once, but
    not for the replicas of a single zone.
    """

    def __init__(self, spec: specs.DeploymentSpec) -> None:
        """Prepare the deployment that `spec` describes, without starting it."""
        super().__init__(dataclasses.replace(spec, proxied=PROXIED))
        self._zone_links: list[_ZoneLink] = []
        self._address_maps: dict[str, dict[str, str]] = {
            zone: {} for zone in spec.zones
        }

    async def isolate(self, zone: str, *, platform: bool = True) -> None:
        """Cut a zone off from the other zones and, by default, the platform."""
        await self._set_zone_cut(zone, cut=True)
        if platform:
            await self.cut_platform(zone, cut=True)

    async def heal(self, zone: str) -> None:
        """End the isolation of a zone."""
        await self._set_zone_cut(zone, cut=False)
        await self.cut_platform(zone, cut=False)

    async def cut_platform(self, zone: str, *, cut: bool) -> None:
        """Cut the link between a zone and the platform, or restore it."""
        await self._set_faults(f'platform-{zone}', cut=cut)

    async def _publish(self) -> None:
        await self._add_zone_links()
        await super()._publish()

    async def _add_zone_links(self) -> None:
        for slot in self.slots.values():
            address = slot.address
            for zone in self.spec.zones:
                await self._add_link(
                    _ZoneLink(
                        f'{slot.program.name}@{zone}',
                        zone,
                        address.zone,
                    ),
                    base_port=address.port,
                    target_port=slot.port,
                )
        number = 0
        for target_zone in self.spec.zones:
            for _ in range(self.spec.entries_per_zone):
                number += 1
                name = f'entry-{number}-{target_zone}'
                base_port = await self.proxy.add_link(name)
                for zone in self.spec.zones:
                    await self._add_link(
                        _ZoneLink(f'{name}@{zone}', zone, target_zone),
                        base_port=base_port,
                        target_port=base_port,
                    )

    async def _add_link(
        self,
        link: _ZoneLink,
        *,
        base_port: int,
        target_port: int,
    ) -> None:
        port = await self.proxy.add_link(link.name, target_port)
        self._zone_links.append(link)
        base = f'{specs.HOST}:{base_port}'
        self._address_maps[link.from_zone][base] = f'{specs.HOST}:{port}'

    async def _set_zone_cut(self, zone: str, *, cut: bool) -> None:
        for link in self._zone_links:
            if (link.from_zone == zone) != (link.target_zone == zone):
                await self._set_faults(link.name, cut=cut)
        for group in self.spec.groups:
            record = await self.platform.value(f'groups/{group}/term')
            primary = self.slots[group, record['primary']]
            if primary.address.zone == zone or not cut:
                # Replicas reach the primary over this link.
                await self._set_faults(primary.program.name, cut=cut)
        if not cut:
            for slot in self.slots.values():
                await self._set_faults(slot.program.name, cut=False)

    async def _set_faults(self, name: str, *, cut: bool) -> None:
        await self.proxy.set_faults(
            name,
            cut_to_target=cut,
            cut_to_client=cut,
        )

    def _entry_settings(
        self,
        name: str,
        zone: str,
        link_port: int,
    ) -> specs.Document:
        return {
            **super()._entry_settings(name, zone, link_port),
            'address_map': self._address_maps[zone],
        }
