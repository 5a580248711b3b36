"""Stand-in for the platform's list of instances.

``GET /instances`` returns the list as it was ``lag_ms`` ago. ``PUT
/instances/<id>`` adds or replaces an instance and ``DELETE /instances/<id>``
removes it. Run it as a process with ``python -m standins.directory --port
2380 --lag-ms 1000``, or in a nursery with
``serve_app(DirectoryStandin(lag_s=0).app)``.
"""

from __future__ import annotations

from dataclasses import asdict

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from marjoramwharf.ids import WorkerId
from marjoramwharf.links.directory import Listing
from marjoramwharf.machines.worker import Worker
from standins.serving import run_process, standin_options


class DirectoryStandin:
    """The list and as much of its history as the lag needs."""

    def __init__(self, *, lag_s: float = 0) -> None:
        """Start with an empty list at revision 0."""
        self.lag_s = lag_s
        self._latest: dict[WorkerId, Worker] = {}
        self._revision = 0
        self._history: list[tuple[float, Listing]] = []
        self.app = self._build_app()

    def put(self, worker: Worker, now_s: float) -> None:
        """Add or replace an instance."""
        self._latest[worker.worker_id] = worker
        self._record(now_s)

    def remove(self, worker_id: WorkerId, now_s: float) -> bool:
        """Remove an instance and return whether it was listed."""
        is_listed = self._latest.pop(worker_id, None) is not None
        if is_listed:
            self._record(now_s)
        return is_listed

    def listing(self, now_s: float) -> Listing:
        """Return the list as it was ``lag_s`` before ``now_s``."""
        visible = [
            index
            for index, (changed_at_s, _) in enumerate(self._history)
            if changed_at_s <= now_s - self.lag_s
        ]
        if not visible:
            return Listing(0, ())
        # Lists before the one in view are never returned again.
        self._history = self._history[visible[-1] :]
        return self._history[0][1]

    def _record(self, now_s: float) -> None:
        self._revision += 1
        instances = tuple(self._latest.values())
        self._history.append((now_s, Listing(self._revision, instances)))

    def _build_app(self) -> QuartTrio:
        app = QuartTrio('standins.directory')
        app.get('/instances')(self._handle_get)
        app.put('/instances/<worker_id>')(self._handle_put)
        app.delete('/instances/<worker_id>')(self._handle_delete)
        return app

    async def _handle_get(self) -> Response:
        listing = self.listing(trio.current_time())
        return Response(
            msgspec.json.encode(asdict(listing)),
            mimetype='application/json',
        )

    async def _handle_put(self, worker_id: str) -> Response:
        try:
            worker = msgspec.json.decode(await request.get_data(), type=Worker)
        except msgspec.MsgspecError as failure:
            return Response(str(failure), status=400)
        if worker.worker_id != worker_id:
            return Response('worker_id differs from the path', status=400)
        self.put(worker, trio.current_time())
        return Response(status=204)

    async def _handle_delete(self, worker_id: str) -> Response:
        is_listed = self.remove(WorkerId(worker_id), trio.current_time())
        return Response(status=204 if is_listed else 404)


def _main() -> None:
    parser = standin_options('standins.directory')
    parser.add_argument('--lag-ms', type=float, default=1_000)
    options = parser.parse_args()
    run_process(DirectoryStandin(lag_s=options.lag_ms / 1000).app, options)


if __name__ == '__main__':
    _main()
