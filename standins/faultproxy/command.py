"""Program `celeryrelay-standin-faultproxy`."""

import asyncio
from collections import abc

from absl import app, flags
from aiohttp import web

from standins import announcement
from standins.faultproxy import admin, links

FLAGS = flags.FLAGS


def define_flags() -> None:
    """Define the flags of the program."""
    flags.DEFINE_string('host', '127.0.0.1', 'Address to listen on.')
    flags.DEFINE_integer('port', 0, 'Admin port; 0 lets the kernel choose.')
    flags.DEFINE_multi_string('link', [], 'NAME=HOST:PORT of a target.')


async def serve() -> None:
    """Serve until SIGTERM or SIGINT."""
    known = links.Links()
    for text in FLAGS.link:
        name, _, address = text.partition('=')
        host, _, port = address.rpartition(':')
        await known.add(links.Link(name, host, int(port)), FLAGS.host, 0)
    runner = web.AppRunner(admin.Admin(known).application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, FLAGS.host, FLAGS.port).start()
    await announcement.announce_and_wait(
        {
            'admin': runner.addresses[0][1],
            'links': {link.name: link.port for link in known.values()},
        }
    )


def main(_arguments: abc.Sequence[str]) -> None:
    """Run the program."""
    asyncio.run(serve())


def run() -> None:
    """Parse the flags and run the program."""
    define_flags()
    app.run(main)


if __name__ == '__main__':
    run()
