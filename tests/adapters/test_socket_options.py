import socket
from unittest import mock

import pytest

from celeryrelay.adapters import socket_options

# No other program connects from this address.
HOST = '127.0.0.77'


@pytest.mark.parametrize('closed', [False, True])
def test_connection_leaves_its_local_port_to_a_listener(closed):
    """Guards against a daemon that can't listen beside another's connection."""
    with socket.create_server((HOST, 0)) as server:
        connection = socket.create_connection(
            server.getsockname(), source_address=(HOST, 0)
        )
        accepted, local_address = server.accept()
    transport = mock.Mock()
    transport.get_extra_info.return_value = connection
    socket_options.set_tcp_options(transport)
    if closed:
        connection.close()
        accepted.close()
    # Like the daemon's listeners, it has SO_REUSEADDR.
    with socket.create_server(local_address):
        accepted.close()
        connection.close()
