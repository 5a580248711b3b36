"""``marjoramwharf-entry``: the daemon on an entry instance.

It runs the tasks of the entry's components, and carries out the planned stop.
"""

from __future__ import annotations

import pathlib
import sys
from dataclasses import dataclass
from functools import partial
from typing import Annotated

import cappa
import trio
from hypercorn.config import Config
from hypercorn.trio import serve as serve_http

from marjoramwharf.errors import BadSettings
from marjoramwharf.links.directory import open_directory
from marjoramwharf.links.etcd import open_store
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.resilient_store import ResilientStore
from marjoramwharf.logs import configure_logs, part_logger
from marjoramwharf.programs._entry_parts import Entry
from marjoramwharf.programs._stop_signals import wait_for_stop
from marjoramwharf.service.drain import DrainGate
from marjoramwharf.settings import EntrySettings, load_entry_settings
from marjoramwharf.tracing import configure_tracing

# The load balancer takes about this long to notice an entry that is not ready.
_BALANCER_LAG_S = 1.0
_HTTP_GRACE_S = 3
_JOBS_GRACE_S = 5

_log = part_logger('entry')


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry until its planned stop is complete."""
    async with open_store(settings.store) as raw:
        async with open_directory(settings.directory) as directory:
            store = ResilientStore(raw, settings.store)
            entry = Entry(settings, store, directory)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_stop_on_signal, entry.gate)
                await _start(entry, nursery)
                await entry.gate.shutdown_requested.wait()
                await _stop(entry)
                nursery.cancel_scope.cancel()
            await entry.agents.aclose()


async def _start(entry: Entry, nursery: trio.Nursery) -> None:
    """Start the tasks in the order of their dependencies."""
    listen = entry.settings.listen
    handlers = entry.capacity_manager.handlers()
    entry.batch_path.add_handlers(handlers)
    server = PeerServer(
        handlers,
        identity=entry.identity,
        secret=entry.settings.peer_secret,
    )
    await nursery.start(
        partial(
            trio.serve_tcp,
            server.serve,
            listen.peer_port,
            host=listen.host,
        ),
    )
    await nursery.start(entry.capacity_manager.run)
    nursery.start_soon(entry.service_path.run)
    nursery.start_soon(_serve_app, entry)
    await nursery.start(entry.directory_poller.run)
    await nursery.start(entry.notes.run)
    await nursery.start(entry.registration.run)
    await nursery.start(entry.members.run)
    nursery.start_soon(entry.peers.run)
    nursery.start_soon(entry.capacity_shards.run)
    nursery.start_soon(entry.batch_path.run)
    _log.info('started', entry=entry.settings.entry_id)


async def _stop(entry: Entry) -> None:
    """Drain, return grants and shards, and leave the list of members."""
    _log.info('draining', in_flight=entry.gate.in_flight_count)
    entry.registration.mark_leaving()
    with trio.move_on_after(_JOBS_GRACE_S):
        await entry.batch_path.shards.hand_over_all()
    is_empty = await entry.gate.drain(
        grace_s=_BALANCER_LAG_S,
        timeout_s=entry.settings.shutdown.drain_timeout_s,
    )
    with trio.move_on_after(_HTTP_GRACE_S):
        await entry.capacity_manager.stop()
        await entry.capacity_shards.hand_over_all()
        await entry.registration.deregister()
    _log.info('stopped', is_empty=is_empty)


async def _serve_app(entry: Entry) -> None:
    listen = entry.settings.listen
    config = Config()
    config.bind = [f'{listen.host}:{listen.http_port}']
    config.graceful_timeout = _HTTP_GRACE_S
    config.keep_alive_timeout = 30
    config.errorlog = None
    await serve_http(entry.app(), config)


async def _stop_on_signal(gate: DrainGate) -> None:
    await wait_for_stop()
    gate.request_shutdown()


@cappa.command(name='marjoramwharf-entry')
@dataclass
class Options:
    """Run the entry daemon."""

    settings: Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='JSON file with comments.'),
    ]
    json_logs: Annotated[
        bool,
        cappa.Arg(long='--json-logs', help='Write logs as JSON lines.'),
    ] = False


def main() -> int:
    """Read the settings and run the daemon; returns the exit status."""
    options = cappa.parse(Options)
    configure_logs(as_json=options.json_logs)
    try:
        settings = load_entry_settings(options.settings)
    except BadSettings as failure:
        sys.stderr.write(f'{failure.message}\n')
        return 2
    configure_tracing(settings.trace, entry_id=settings.entry_id)
    trio.run(run_entry, settings)
    return 0


if __name__ == '__main__':
    sys.exit(main())
