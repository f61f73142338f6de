"""Network addresses of the form `host:port`."""

import ipaddress
import typing

MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


class Address(typing.NamedTuple):
    """Host and port of a listener."""

    host: str
    port: int


def parse(text: str) -> Address:
    """Split an address into host and port.

    Raises:
        ValueError: It has no host, or no port from 0 to 65535.
    """
    host, _, digits = text.rpartition(':')
    is_number = digits.isascii() and digits.isdecimal()
    if not host or not is_number or len(digits) > _MAX_PORT_DIGITS:
        raise ValueError('{0!r} is not of the form host:port'.format(text))
    port = int(digits)
    if port > MAX_PORT:
        raise ValueError(
            '{0!r}: the port is not between 0 and {1}'.format(text, MAX_PORT)
        )
    return Address(host, port)


def parse_peer(text: str) -> Address:
    """Split the address of another process, to which connections are opened.

    Raises:
        ValueError: Its host is not an IPv4 address, or it has no port from 1 to
            65535.
    """
    address = parse(text)
    ipaddress.IPv4Address(address.host)
    if not address.port:
        raise ValueError('{0!r}: no process listens on port 0'.format(text))
    return address
