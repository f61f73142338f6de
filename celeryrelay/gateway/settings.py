"""Settings of one daemon, read from the settings file of its instance."""

import dataclasses

from celeryrelay.quotas import limits


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings that a daemon needs before it can read the store.

    Attributes:
        instance: Name of the instance that the daemon runs on.
        availability_zone: Availability zone of the instance.
        regions: Region of each availability zone.
        caller_address: `host:port` on which the daemon listens for callers.
        probe_address: `host:port` for the health checks of the load balancer.
        metrics_address: `host:port` of the metrics page.
        link_address: `host:port` on which the daemon leases its connections
            to other daemons.
        store_address: `host:port` of the platform's store.
        orders_address: `host:port` to which promotion orders are sent.
        stop_grace_s: Time between the signal to stop and the kill.
        gone_after_s: Time after the removal of its registration at which a
            backend server counts as gone.
        disruption_s: Time after the end of a disruption of the network or the
            store for which the daemon may still act on what it knew before.
        apply_s: Time in which a new configuration has to be in force.
        deposes_primaries: Whether the platform deposes the old primary when it
            promotes another server, and refuses outdated promotion orders.
        client_accounts: Whether callers need the API key of a client account.
        revoke_strict: Whether a statement with an API key needs evidence that
            the configuration in force is the newest one.
        revoke_s: Time after the acknowledgement of a configuration from which
            on API keys that it lacks may not be used any more.
        quota_bounds: Bounds on the operations of each client account, None if
            they aren't limited.
        capacity: Number of processor cores that the daemon may use.
        connection_limit: Number of connections that the platform lets the
            daemon open, 0 if it sets no limit.
        memory_limit_mb: Memory in MB beyond which the platform ends the daemon.
        log_level: Lowest level of log lines that are written.
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
    disruption_s: float = 5
    apply_s: float = 3
    deposes_primaries: bool = True
    client_accounts: bool = False
    revoke_strict: bool = False
    revoke_s: float = 5
    quota_bounds: limits.QuotaBounds | None = None
    capacity: float = 1
    connection_limit: int = 0
    memory_limit_mb: float = 200
    log_level: str = 'INFO'

    @property
    def needs_evidence(self) -> bool:
        """Whether statements with an API key need evidence."""
        return self.client_accounts and self.revoke_strict

    def region(self, availability_zone: str) -> str:
        """Return the region of a zone, or the zone itself if none is set."""
        return self.regions.get(availability_zone, availability_zone)
