"""Settings of one daemon, as its instance gives them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What a daemon knows before it asks the store.

    Attributes:
        instance: Name of its instance.
        availability_zone: Where it runs.
        regions: Region of each availability zone.
        caller_address: `host:port` for callers.
        probe_address: `host:port` for the load balancer's health checks.
        metrics_address: `host:port` for metrics.
        link_address: `host:port` at which other daemons use connections of
            this one.
        store_address: `host:port` of the platform's store.
        orders_address: `host:port` that takes promotion orders.
        stop_grace_s: Time between the signal to stop and the kill.
        gone_after_s: Time after which a server that lost its registration is
            taken as gone.
        watch_wait_ms: Longest wait of a watch at the store.
        capacity: Processor cores that it may use.
        log_level: Least level of log lines.
    """

    instance: str
    availability_zone: str
    regions: dict[str, str]
    caller_address: str
    probe_address: str
    metrics_address: str
    link_address: str
    store_address: str
    orders_address: str
    stop_grace_s: float = 6
    gone_after_s: float = 2.5
    watch_wait_ms: int = 28000
    capacity: float = 1
    log_level: str = 'INFO'

    def region(self, availability_zone: str) -> str:
        """Return the region of a zone, the zone itself if it is unknown."""
        return self.regions.get(availability_zone, availability_zone)
