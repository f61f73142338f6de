"""Program `celeryrelay-standin-platform`."""

import asyncio
from collections import abc

from absl import app, flags
from aiohttp import web

from standins import announcement
from standins.platform import service

FLAGS = flags.FLAGS


def define_flags() -> None:
    """Define the flags of the program."""
    flags.DEFINE_string('host', '127.0.0.1', 'Address to listen on.')
    flags.DEFINE_integer(
        'port', 0, 'Port to listen on; 0 lets the kernel choose.'
    )
    flags.DEFINE_float(
        'read_limit', 2000, 'Maximum number of GET calls per second.'
    )
    flags.DEFINE_float(
        'write_limit', 500, 'Maximum number of other calls per second.'
    )


async def serve() -> None:
    """Serve the platform API until SIGTERM or SIGINT."""
    platform = service.Service(FLAGS.read_limit, FLAGS.write_limit)
    runner = web.AppRunner(
        platform.application(), access_log=None, shutdown_timeout=1
    )
    await runner.setup()
    site = web.TCPSite(runner, FLAGS.host, FLAGS.port)
    await site.start()
    await announcement.announce_and_wait({'http': runner.addresses[0][1]})
    platform.stop()
    await runner.cleanup()


def main(_arguments: abc.Sequence[str]) -> None:
    """Run the service in an event loop."""
    asyncio.run(serve())


def run() -> None:
    """Parse the flags and run the program."""
    define_flags()
    app.run(main)


if __name__ == '__main__':
    run()
