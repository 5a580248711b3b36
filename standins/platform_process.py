"""A process that stands in for the users' platform on loopback.

    python -m standins.platform_process --port 7000 --workers 4

The store listens on the given port and the workers on those after it. The
listings of the workers and a configuration are stored from the start.
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterator, Sequence

import trio

from marjoramwharf.links.http_server import HttpServer, open_listener
from marjoramwharf.links.store import Write
from standins.platform_endpoints import StoreEndpoint, WorkerEndpoint
from standins.simulated_worker import SimulatedWorker

HOST = '127.0.0.1'
QUEUE_HOST = 'jobs.example'
QUEUE_PREFIX = '/recipes/'

# The environment variable with the path of an entry's settings file.
SETTINGS_VARIABLE = 'MARJORAMWHARF_BOOT'

# The data centres of the workers, in turn.
DATA_CENTRES = ('ruse', 'plovdiv')

_SERVICE = 'presses'

_ODD_PORT = 99_999
_ODD_DEPTH = 50_000

_SETTINGS = """Node={name}
Zone=ruse
Region=south
Ip={host}
ListenAddrs.Front={host}:{front}
ListenAddrs.Ready={host}:{ready}
PortRange={peers},{peers}
platform.Address={store}
Bounds.GraceS=6
Bounds.MaxHoldMs=10000
"""


def entry_settings(
    name: str,
    host: str,
    ports: Sequence[int],
    *,
    store: str,
) -> str:
    """Return the content of an entry's settings file.

    ``ports`` are those for callers, for readiness checks and for peers.
    """
    return _SETTINGS.format(
        name=name,
        host=host,
        front=ports[0],
        ready=ports[1],
        peers=ports[2],
        store=store,
    )


def configuration(version: int) -> bytes:
    """Return a configuration with one queue."""
    route = {
        'Name': 'recipes',
        'Host': QUEUE_HOST,
        'Prefix': QUEUE_PREFIX,
        'Service': _SERVICE,
        'TimeoutMs': 3_000,
        'TargetLatencyMs': 1_000,
        'MaxAttempts': 3,
        'Stretch': 2.0,
    }
    service = {'Name': _SERVICE, 'RejectsOverload': True}
    body = {'Version': version, 'Routes': [route], 'Services': [service]}
    return json.dumps(body).encode()


def worker_listing(port: int, rack: str, data_centre: str = 'ruse') -> bytes:
    """Return the listing that a worker writes of itself into the store."""
    body = {
        'Service': _SERVICE,
        'Address': f'{HOST}:{port}',
        'Zone': data_centre,
        'State': 'ready',
        'Slots': 8,
        'Capacity': {'Cpu': 32_000, 'MemMb': 128_000, 'Gpu': 0},
        'Labels': ['a', rack],
        'Seq': 1,
    }
    return json.dumps(body).encode()


def odd_listings() -> Iterator[Write]:
    """Yield entries of another writer among those of the workers."""
    good = json.loads(worker_listing(1, 'r1'))
    deep = '[' * _ODD_DEPTH + ']' * _ODD_DEPTH
    bodies = (
        json.dumps({**good, 'Capacity': {'Cpu': 10**400, 'MemMb': 1}}),
        json.dumps({**good, 'Address': f'{HOST}:{_ODD_PORT}'}),
        json.dumps({**good, 'RemainingMs': 10**300, 'State': 'draining'}),
        json.dumps({**good, 'Address': 'a' * 300}),
        f'{{"Service":"{_SERVICE}","Labels":{deep}}}',
        deep,
    )
    for number, body in enumerate(bodies):
        yield Write(f'servers/odd{number}', body.encode())


async def serve_platform(
    port: int, workers_count: int, listed_offset: int = 0
) -> None:
    """Serve the store and the workers until cancelled.

    The workers are listed with their ports and ``listed_offset`` more, where a
    proxy may listen. The list also has entries that name no worker.
    """
    store = StoreEndpoint()
    store.state.apply(list(odd_listings()))
    store.state.apply([Write('op/config', configuration(1))])
    async with trio.open_nursery() as nursery:
        for number in range(1, workers_count + 1):
            endpoint = WorkerEndpoint(SimulatedWorker(trio.current_time()))
            listener = await open_listener(HOST, port + number)
            nursery.start_soon(HttpServer(endpoint.handle).serve, listener)
            listing = worker_listing(
                port + number + listed_offset,
                'r1' if number % 2 else 'r2',
                DATA_CENTRES[number % 2],
            )
            store.state.apply([Write(f'servers/w{number}', listing)])
        listener = await open_listener(HOST, port)
        nursery.start_soon(HttpServer(store.handle).serve, listener)
        print(f'platform: listening on {HOST}:{port}', flush=True)
        await trio.sleep_forever()


def main() -> None:
    """Serve with the options of the command line."""
    parser = argparse.ArgumentParser(prog='platform_process')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--workers', type=int, default=4)
    parser.add_argument('--listed-offset', type=int, default=0)
    options = parser.parse_args()
    trio.run(
        serve_platform, options.port, options.workers, options.listed_offset
    )


if __name__ == '__main__':
    main()
