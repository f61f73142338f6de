"""Settings of the entry daemon and their defaults."""

import typing

import pydantic

Milliseconds = typing.Annotated[float, pydantic.Field(gt=0)]
Address = typing.Annotated[str, pydantic.Field(pattern=r'^[^:\s]+:\d{1,5}$')]
Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]


class StrictModel(pydantic.BaseModel):
    """Base model that rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ListenSettings(StrictModel):
    """Addresses on which the daemon listens; port 0 selects a free port.

    Attributes:
        host: IP address of both listeners.
        mysql_port: Port for callers.
        peer_port: Port for other daemons, the load balancer and operators.
    """

    host: str = '127.0.0.1'
    mysql_port: Port = 3306
    peer_port: Port = 7300


class TlsSettings(StrictModel):
    """Certificate and key files for TLS on caller connections.

    Attributes:
        certificate_file: File with the certificate chain in PEM form.
        key_file: File with the private key in PEM form.
    """

    certificate_file: str
    key_file: str


class TermSettings(StrictModel):
    """Timing of terms and failover.

    Attributes:
        ack_window_ms: Time after a store read was sent during which its
            result permits the acknowledgement of writes.
        clock_rate_error: Largest relative error of the rate of any clock.
        probe_interval_ms: Time between probes of a slot.
        probe_failures: Number of consecutive failed probes after which a slot
            counts as unreachable.
        probe_span_ms: Shortest time that these failed probes have to span.
        promoter_stagger_ms: Additional delay before each further promoter
            starts a failover.
        closed_takeover_ms: Age of a closed term record after which another
            promoter continues the failover.
    """

    ack_window_ms: Milliseconds = 600
    clock_rate_error: typing.Annotated[
        float,
        pydantic.Field(ge=0, lt=0.5),
    ] = 0.01
    probe_interval_ms: Milliseconds = 150
    probe_failures: typing.Annotated[int, pydantic.Field(ge=1)] = 3
    probe_span_ms: Milliseconds = 600
    promoter_stagger_ms: Milliseconds = 400
    closed_takeover_ms: Milliseconds = 2000


class ControlSettings(StrictModel):
    """Control exchange between daemons.

    Attributes:
        exchange_interval_ms: Time between exchanges with the relay. 500 ms
            keeps control traffic below 2 KB/s.
        store_poll_interval_ms: Time between a relay's reads of the store.
        request_timeout_ms: Timeout of one control request.
        suspect_after_ms: Time without a message after which an instance is
            given no role.
        list_interval_ms: Time between reads of the platform's instance list.
        seeds: Peer addresses that are asked at start-up while the platform's
            instance list can't be read.
    """

    exchange_interval_ms: Milliseconds = 200
    store_poll_interval_ms: Milliseconds = 200
    request_timeout_ms: Milliseconds = 400
    suspect_after_ms: Milliseconds = 1500
    list_interval_ms: Milliseconds = 1000
    seeds: tuple[Address, ...] = ()


class StatementSettings(StrictModel):
    """Deadlines and limits of statements.

    Attributes:
        read_wait_ms: Longest time that a read waits for a replica to reach
            the required log position.
        failover_hold_ms: Longest time that a statement waits for a new
            primary.
        progress_timeout_ms: Time without any data after which a connection
            with a running statement is closed.
        idle_check_ms: Idle time after which a connection is checked before
            its next use.
        max_packet_bytes: Size of the largest statement that a caller may send.
        classification_cache: Number of distinct statement texts whose
            classification is cached.
    """

    read_wait_ms: Milliseconds = 50
    failover_hold_ms: Milliseconds = 5000
    progress_timeout_ms: Milliseconds = 10000
    idle_check_ms: Milliseconds = 5000
    max_packet_bytes: typing.Annotated[int, pydantic.Field(ge=1024)] = 16777216
    classification_cache: typing.Annotated[int, pydantic.Field(ge=16)] = 4096


class DrainSettings(StrictModel):
    """Planned stop of the daemon.

    Attributes:
        balancer_grace_ms: Time between failing the health check and refusing
            new connections.
        limit_ms: Longest time to wait for open transactions to end.
    """

    balancer_grace_ms: typing.Annotated[float, pydantic.Field(ge=0)] = 500
    limit_ms: Milliseconds = 10000


class AccountSettings(StrictModel):
    """Batches of statement counts for the account.

    Attributes:
        period_s: Length of an accounting period.
        flush_interval_ms: Time between two batches of an entry instance.
    """

    period_s: typing.Annotated[int, pydantic.Field(ge=1)] = 10
    flush_interval_ms: Milliseconds = 1000


class TimelineSettings(StrictModel):
    """Event log.

    Attributes:
        path: File for events as JSON lines; empty keeps them in memory only.
        buffer_events: Number of events kept for `GET /events`.
        enabled: Whether events are recorded at all.
    """

    path: str = ''
    buffer_events: typing.Annotated[int, pydantic.Field(ge=0)] = 2000
    enabled: bool = True


class Settings(StrictModel):
    """All settings of one entry daemon.

    Attributes:
        deployment: Name of the deployment, part of every account.
        availability_zone: Availability zone of this instance.
        advertise: Peer address for other daemons; empty for the listen address.
        platform_url: Base URL of the platform's HTTP service.
        fleet_key_file: File with the key that all daemons share.
        backend_user: User name on backend servers.
        backend_password_file: File with that user's password; empty for none.
        log_level: Lowest level that is logged.
        address_map: Addresses, `host:port`, that this instance reaches through
            another address, such as that of a port forwarder.
        listen: Listen addresses.
        tls: TLS on caller connections; null for none.
        terms: Terms and failover.
        control: Control exchange between daemons.
        statements: Deadlines and limits of statements.
        drain: Planned stop of the daemon.
        account: Batches of statement counts for the account.
        timeline: Event log.
    """

    deployment: str
    availability_zone: str
    advertise: str = ''
    platform_url: str
    fleet_key_file: str
    backend_user: str = 'celeryrelay'
    backend_password_file: str = ''
    log_level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    address_map: dict[Address, Address] = {}
    listen: ListenSettings = ListenSettings()
    tls: TlsSettings | None = None
    terms: TermSettings = TermSettings()
    control: ControlSettings = ControlSettings()
    statements: StatementSettings = StatementSettings()
    drain: DrainSettings = DrainSettings()
    account: AccountSettings = AccountSettings()
    timeline: TimelineSettings = TimelineSettings()
