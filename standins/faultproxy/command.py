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
    flags.DEFINE_multi_string(
        'link', [], 'NAME=HOST:PORT: name of a link and its target.'
    )


async def serve() -> None:
    """Serve the links and the admin interface until SIGTERM or SIGINT."""
    all_links = links.Links()
    for link_flag in FLAGS.link:
        name, _, address = link_flag.partition('=')
        host, _, port = address.rpartition(':')
        await all_links.add(links.Link(name, host, int(port)), FLAGS.host, 0)
    runner = web.AppRunner(
        admin.Admin(all_links).application(), access_log=None
    )
    await runner.setup()
    await web.TCPSite(runner, FLAGS.host, FLAGS.port).start()
    await announcement.announce_and_wait(
        {
            'admin': runner.addresses[0][1],
            'links': {link.name: link.port for link in all_links.values()},
        }
    )


def main(_arguments: abc.Sequence[str]) -> None:
    """Run the proxy in an event loop."""
    asyncio.run(serve())


def run() -> None:
    """Parse the flags and run the program."""
    define_flags()
    app.run(main)


if __name__ == '__main__':
    run()
