"""Program `celeryrelay-standin-database`."""

import asyncio
import logging
import pathlib
from collections import abc

from absl import app, flags

from standins import announcement
from standins.database import server, storage
from standins.database import slot as slot_state

FLAGS = flags.FLAGS


def define_flags() -> None:
    """Define the flags of the program."""
    flags.DEFINE_string('group', 'group', 'Name of the database group.')
    flags.DEFINE_string('slot', 'slot', 'Name of the slot.')
    flags.DEFINE_string('host', '127.0.0.1', 'Address to listen on.')
    flags.DEFINE_integer(
        'port', 0, 'Port to listen on; 0 lets the kernel choose.'
    )
    flags.DEFINE_integer('term', 1, 'Initial term.')
    flags.DEFINE_enum_class(
        'role',
        slot_state.Role.primary,
        slot_state.Role,
        'Initial role; a replica replicates only after group_follow.',
    )
    flags.DEFINE_string(
        'init_sql_file', '', 'File of SQL statements that create the tables.'
    )
    flags.DEFINE_float(
        'lag_ms', 0, 'Replication lag: age at which a replica applies a commit.'
    )
    flags.DEFINE_integer(
        'connection_limit', 1000, 'Maximum number of client connections.'
    )
    flags.DEFINE_float(
        'connection_cost_ms', 0, 'Added delay of each handshake.'
    )
    flags.DEFINE_float('service_ms', 0, 'Added service time of each statement.')
    flags.DEFINE_integer(
        'service_concurrency',
        4,
        'Statements that spend service time concurrently.',
    )


async def serve() -> None:
    """Serve the slot described by the flags until SIGTERM or SIGINT."""
    path = FLAGS.init_sql_file
    init_sql = pathlib.Path(path).read_text(encoding='utf-8') if path else ''
    tuning = slot_state.Tuning(
        FLAGS.lag_ms,
        FLAGS.connection_limit,
        FLAGS.connection_cost_ms,
        FLAGS.service_ms,
        FLAGS.service_concurrency,
    )
    slot = slot_state.Slot(FLAGS.slot, tuning, storage.Storage(init_sql))
    slot.set_term_and_role(FLAGS.term, FLAGS.role)
    slot_server = server.SlotServer(slot)
    listener = await slot_server.listen(FLAGS.host, FLAGS.port)
    port = listener.sockets[0].getsockname()[1]
    await announcement.announce_and_wait({'mysql': port})


def main(_arguments: abc.Sequence[str]) -> None:
    """Run the server in an event loop."""
    logging.getLogger('mysql_mimic').setLevel(logging.CRITICAL)
    asyncio.run(serve())


def run() -> None:
    """Parse the flags and run the program."""
    define_flags()
    app.run(main)


if __name__ == '__main__':
    run()
