"""Serves a stand-in's HTTP application, in a nursery or as a process."""

from __future__ import annotations

import argparse
from functools import partial

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

# Connections that are open when a stand-in stops are aborted after this time.
_GRACE_S = 0.1


async def serve_app(
    app: QuartTrio,
    *,
    host: str = '127.0.0.1',
    port: int = 0,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; the task status is the base URL.

    Port 0 lets the system choose a free port.

        url = await nursery.start(serve_app, app)
    """
    config = Config()
    config.bind = [f'{host}:{port}']
    config.graceful_timeout = _GRACE_S
    config.errorlog = None
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(serve, app, config)
        task_status.started(urls[0])


def standin_options(program: str) -> argparse.ArgumentParser:
    """Return a parser with the options that every stand-in process has."""
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    return parser


def run_process(app: QuartTrio, options: argparse.Namespace) -> None:
    """Run a stand-in as a process until it is interrupted."""
    try:
        trio.run(_serve_process, app, options)
    except* KeyboardInterrupt:
        print('stopped', flush=True)


async def _serve_process(app: QuartTrio, options: argparse.Namespace) -> None:
    async with trio.open_nursery() as nursery:
        url = await nursery.start(
            partial(serve_app, app, host=options.host, port=options.port),
        )
        print(f'{app.name}: listening on {url}', flush=True)
