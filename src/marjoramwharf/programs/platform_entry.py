"""The daemon of an entry instance on the users' platform.

This module is the composition root: it reads the settings, connects the
components and runs them until a signal stops the process.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.entry_directory import EntryDirectory
from marjoramwharf.cells.instance_settings import InstanceSettings
from marjoramwharf.cells.intake import Intake
from marjoramwharf.cells.owner_link import OwnerLink, answer_job_call
from marjoramwharf.cells.owner_view import OwnerView
from marjoramwharf.cells.ownership import Campaign
from marjoramwharf.cells.records import (
    OWNERS_PREFIX,
    CellId,
    EntryRecord,
    incarnation_of,
)
from marjoramwharf.cells.retention import retention_s
from marjoramwharf.cells.tenure_end import TENURE_END_METHOD, answer_tenure_end
from marjoramwharf.cells.tombstones import TombstoneLimit
from marjoramwharf.cells.worker_relay import WORKER_METHOD
from marjoramwharf.errors import BadSettings
from marjoramwharf.ids import random_id
from marjoramwharf.isolation import run_restarted
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.links.http_server import (
    HttpServer,
    open_listener,
)
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.prefix_watcher import PrefixWatcher
from marjoramwharf.links.relayed_store import RelayedStore
from marjoramwharf.links.store_reachability import StoreReachability
from marjoramwharf.links.store_relay import (
    STORE_METHOD,
    StoreRelay,
    handle_store_call,
)
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.log_output import BoundedOutput
from marjoramwharf.logs import configure_logs, part_logger
from marjoramwharf.platform import settings_file
from marjoramwharf.platform.job_api import JobApi, answer_readiness
from marjoramwharf.platform.kv_store import KvStore
from marjoramwharf.programs._cell_metrics import CellMetrics, listen_for_metrics
from marjoramwharf.programs._cell_tenures import (
    HOLD_AFTER_EXPIRY_S,
    CellTenures,
)
from marjoramwharf.programs._operator_requests import OperatorRequests
from marjoramwharf.programs._stop_signals import wait_for_stop
from marjoramwharf.programs._worker_paths import WorkerPaths

_LOG = part_logger('main')
_CELL = CellId(0)

_MS_PER_S = 1_000

# Longer than the store takes when it is a hundred times slower than usual. A
# lost answer delays a start or a submission by this time.
_STORE_TIMEOUT_S = 0.6
_RENEWAL_TIMEOUT_S = 0.7

# Shorter than the other timeouts, so that an instance that does not answer at
# all is given up earlier than one that answers slowly.
_CONNECT_TIMEOUT_S = 0.3
_OWNER_TIMEOUT_S = 0.3

# The lease of the owner. Short, since no run starts between two owners.
_OWNER_TTL_MS = 2_000

# How long the watch of the owners waits for a change.
_OWNERS_WAIT_MS = 2_000

# The platform stops sending connections after two readiness checks, 1 s apart.
_READINESS_DELAY_S = 2.2
_STOP_MARGIN_S = 1.0


def _build_client() -> HttpClient:
    return HttpClient(connect_timeout_s=_CONNECT_TIMEOUT_S)


@dataclass(slots=True)
class Entry:
    """All components of the process, connected to each other."""

    settings: InstanceSettings
    secret: str = field(default_factory=random_id)
    client: HttpClient = field(default_factory=_build_client)
    view: OwnerView = field(default_factory=OwnerView)
    operators: OperatorRequests = field(default_factory=OperatorRequests)
    output: BoundedOutput | None = None
    counters: CellCounters = field(default_factory=CellCounters)
    is_stopping: bool = False
    store: RelayedStore = field(init=False)
    relay: StoreRelay = field(init=False)
    directory: EntryDirectory = field(init=False)
    worker_paths: WorkerPaths = field(init=False)
    api_server: HttpServer = field(init=False)
    campaign: Campaign = field(init=False)
    tenures: CellTenures = field(init=False)
    owner_link: OwnerLink = field(init=False)

    def __post_init__(self) -> None:
        """Create and connect the components."""
        settings = self.settings
        record = EntryRecord(
            entry_id=settings.entry_id,
            host=settings.host,
            port=settings.peer_ports[0],
            secret=self.secret,
            cpu_share=settings.cpu_share,
        )
        reachability = StoreReachability()
        self.relay = StoreRelay(
            lambda: self.directory.peers,
            self.identity,
            reachability,
        )
        self.store = RelayedStore(
            self._direct_store(self.client, _STORE_TIMEOUT_S),
            self.relay,
            reachability,
        )
        self.directory = EntryDirectory(self.store, record)
        self.worker_paths = WorkerPaths(
            self.client,
            self.identity,
            lambda: self.directory.peers,
            self.counters,
        )
        self.owner_link = OwnerLink(
            view=self.view,
            cell=_CELL,
            identity=self.identity,
            timeout_s=_OWNER_TIMEOUT_S,
            on_owner_ended=self.view.mark_owner_ended,
        )
        self.campaign = Campaign(
            store=RelayedStore(
                self._direct_store(_build_client(), _RENEWAL_TIMEOUT_S),
                self.relay,
                reachability,
                self.store.relay_reachability,
            ),
            view=self.view,
            cell=_CELL,
            record=record,
            ttl_ms=max(_OWNER_TTL_MS, settings.store_limits.min_ttl_ms),
            cpu_share=settings.cpu_share,
            run_cell=lambda tenure: self.tenures.run(tenure),
            is_prepared=lambda: self.operators.config.current is not None,
        )
        self.tenures = CellTenures(
            settings=settings,
            identity=self.identity,
            store=self.store,
            client=self.client,
            view=self.view,
            campaign=self.campaign,
            operators=self.operators,
            worker_paths=self.worker_paths,
            counters=self.counters,
        )
        intake = Intake(
            self.store,
            _CELL,
            self.owner_link,
            self.owned_cell,
            lambda: self.store.is_reachable,
            self.counters,
            TombstoneLimit(retention_s(settings.bounds.status_ms)),
        )
        handler = JobApi(intake, lambda: self.operators.config.current)
        self.api_server = HttpServer(handler.handle)

    @property
    def identity(self) -> PeerIdentity:
        """The identity that this process sends to peers."""
        return PeerIdentity(
            entry_id=self.settings.entry_id,
            incarnation=incarnation_of(self.secret),
            data_centre=self.settings.data_centre,
        )

    def owned_cell(self) -> Cell | None:
        """Return the cell while this entry owns it."""
        return self.tenures.cell

    def is_ready(self) -> bool:
        """Tell whether this entry accepts callers."""
        return (
            self.operators.config.current is not None
            and not self.is_stopping
            and self.store.is_reachable
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        settings = self.settings
        async with trio.open_nursery() as nursery:
            for task, call in (
                ('operator requests', partial(self.operators.run, self.store)),
                ('owners', self._follow_owners),
                ('store probe', self.store.run_probe),
                ('store relay', self.relay.run),
                ('entry directory', self.directory.run),
                ('owner link', self.owner_link.run),
                ('worker relay', self.worker_paths.relay_peers.run),
                ('idle connections', self.client.run_reaper),
            ):
                nursery.start_soon(run_restarted, task, call)
            # Listen first: peers treat an owner that doesn't listen as ended.
            await self._listen(nursery)
            nursery.start_soon(run_restarted, 'campaign', self.campaign.run)
            _LOG.info(
                'started',
                entry=settings.entry_id,
                data_centre=settings.data_centre,
                cpu_share=settings.cpu_share,
            )
            await wait_for_stop()
            await self._stop()
            nursery.cancel_scope.cancel()
        _LOG.info('stopped', entry=settings.entry_id)

    async def _answer_peer(
        self,
        sender: PeerIdentity,
        call: Message,
    ) -> Message:
        if call.method == STORE_METHOD:
            return await handle_store_call(
                self.store.direct,
                self.store.reachability,
                call,
            )
        if call.method == WORKER_METHOD:
            return await self.worker_paths.answer(call)
        if call.method == TENURE_END_METHOD:
            return answer_tenure_end(
                self.campaign.latest_tenure,
                HOLD_AFTER_EXPIRY_S,
                call,
                now_s=boot_s(),
            )
        return await answer_job_call(self.owned_cell, sender, call)

    def _direct_store(self, client: HttpClient, timeout_s: float) -> KvStore:
        return KvStore(client, self.settings.store_address, timeout_s=timeout_s)

    async def _follow_owners(self) -> None:
        await PrefixWatcher(
            self.store, OWNERS_PREFIX, self.view.apply, _OWNERS_WAIT_MS
        ).run()

    async def _listen(self, nursery: trio.Nursery) -> None:
        settings = self.settings
        if settings.front is not None:
            listener = await open_listener(*settings.front)
            nursery.start_soon(self.api_server.serve, listener)
        if settings.ready is not None:
            ready = HttpServer(partial(answer_readiness, self.is_ready))
            listener = await open_listener(*settings.ready)
            nursery.start_soon(ready.serve, listener)
        metrics = CellMetrics(
            self.counters,
            self.client,
            self.output,
            self.owned_cell,
            lambda: self.worker_paths.routes.relayed_count,
        )
        await listen_for_metrics(nursery, metrics, settings.host)
        peers = PeerServer(
            {ttypes.JobCall: self._answer_peer},
            identity=self.identity,
            secret=self.secret,
        )
        listener = await open_listener(settings.host, settings.peer_ports[0])
        nursery.start_soon(trio.serve_listeners, peers.serve, [listener])

    async def _stop(self) -> None:
        """Hand the cell over, then finish the requests that are in flight."""
        _LOG.info('stopping', entry=self.settings.entry_id)
        self.is_stopping = True
        grace_s = self.settings.bounds.grace_ms / _MS_PER_S - _STOP_MARGIN_S
        deadline_s = trio.current_time() + grace_s
        with trio.move_on_after(grace_s / 4):
            cell = self.owned_cell()
            if cell is not None:
                await cell.hand_over()
        await self.campaign.resign()
        await trio.sleep(min(_READINESS_DELAY_S, grace_s / 2))
        self.api_server.drain()
        while (
            self.api_server.active_requests_count
            and trio.current_time() < deadline_s
        ):
            await trio.sleep(0.02)


def main() -> None:
    """Run the daemon with the platform's settings file.

    With ``--check FILE``, only read and check that settings file.
    """
    if len(sys.argv) > 1:
        from marjoramwharf.programs._check_settings import check_settings

        sys.exit(check_settings())
    output = BoundedOutput(sys.stdout.fileno())
    configure_logs(as_json=True, output=output)
    try:
        settings = settings_file.load_instance_settings(
            settings_file.settings_path()
        )
    except BadSettings as failure:
        _LOG.error('settings refused', error=str(failure))
        sys.exit(2)
    trio.run(Entry(settings, output=output).run)


if __name__ == '__main__':
    main()
