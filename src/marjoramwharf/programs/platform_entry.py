"""The daemon of an entry instance on the users' platform.

This module is the composition root: it reads the settings, wires the parts
and runs them until it is told to stop.
"""

from __future__ import annotations

import signal
import sys
from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.cell_context import CellContext, CellOwnership
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.config_cache import ConfigCache
from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.entry_directory import EntryDirectory
from marjoramwharf.cells.instance_settings import InstanceSettings
from marjoramwharf.cells.intake import Intake
from marjoramwharf.cells.owner_link import OwnerLink, answer_job_call
from marjoramwharf.cells.ownership import Campaign, OwnerView, Tenure
from marjoramwharf.cells.records import OWNERS_PREFIX, CellId, EntryRecord
from marjoramwharf.errors import BadSettings
from marjoramwharf.ids import Incarnation, random_id
from marjoramwharf.links.follower import Apply, Follower
from marjoramwharf.links.http_client import LeanClient
from marjoramwharf.links.http_server import (
    HttpServer,
    open_listener,
)
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.relayed_store import RelayedStore
from marjoramwharf.links.store_reach import StoreReach
from marjoramwharf.links.store_relay import (
    STORE_METHOD,
    StoreRelay,
    answer_store_call,
)
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.log_output import BoundedOutput
from marjoramwharf.logs import configure_logs, part_logger
from marjoramwharf.platform import boot
from marjoramwharf.platform.advice_calls import PlatformAdviceCalls
from marjoramwharf.platform.front import Front, answer_ready
from marjoramwharf.platform.kv_store import KvStore
from marjoramwharf.platform.operator_config import (
    CONFIG_KEY,
    decode_configuration,
)
from marjoramwharf.platform.worker_calls import PlatformWorkerCalls
from marjoramwharf.platform.worker_entries import (
    WORKERS_PREFIX,
    decode_listing,
)
from marjoramwharf.programs._cell_metrics import CellMetrics

_LOG = part_logger('main')
_CELL = CellId(0)

# Named in deploy/system.toml.
METRICS_PORT = 9464
_CONFIG_PREFIX = 'op/'
_MS_PER_S = 1_000

# Longer than the store takes when it is a hundred times slower than usual; a
# lost answer delays a start or a submission by this much.
_STORE_TIMEOUT_S = 0.6
_RENEWAL_TIMEOUT_S = 0.7

# An instance that does not answer at all is given up earlier than one that
# answers slowly.
_CONNECT_TIMEOUT_S = 0.3
_OWNER_TIMEOUT_S = 0.3

# The owner's lease: short, since nothing starts between two owners.
_OWNER_TTL_MS = 2_000

# The share of the longest lease that a run gets, so that it outlives a change
# of owner.
_HOLD_SHARE = 0.65

# An owner whose lease can't be renewed extends the leases of runs for so long.
_HOLD_AFTER_LAPSE_S = 1.2

# The waits of the watches: a connection that went silent is noticed a second
# after them, and a configuration has to be in force within two seconds.
_CONFIG_WAIT_MS = 900
_OWNERS_WAIT_MS = 2_000

# The platform needs two looks, a second apart, to stop sending connections.
_READINESS_GAP_S = 2.2
_STOP_MARGIN_S = 1.0


def _client() -> LeanClient:
    return LeanClient(connect_timeout_s=_CONNECT_TIMEOUT_S)


@dataclass(slots=True)
class Entry:
    """The parts of the process, wired."""

    place: InstanceSettings
    secret: str = field(default_factory=random_id)
    client: LeanClient = field(default_factory=_client)
    view: OwnerView = field(default_factory=OwnerView)
    config: ConfigCache = field(
        default_factory=partial(
            ConfigCache,
            CONFIG_KEY,
            decode_configuration,
        ),
    )
    output: BoundedOutput | None = None
    counters: CellCounters = field(default_factory=CellCounters)
    cell: Cell | None = None
    is_stopping: bool = False
    store: RelayedStore = field(init=False)
    relay: StoreRelay = field(init=False)
    directory: EntryDirectory = field(init=False)
    front: HttpServer = field(init=False)
    campaign: Campaign = field(init=False)
    owner_link: OwnerLink = field(init=False)

    def __post_init__(self) -> None:
        """Wire the parts."""
        place = self.place
        record = EntryRecord(
            entry_id=place.entry_id,
            host=place.host,
            port=place.peer_ports[0],
            secret=self.secret,
        )
        reach = StoreReach()
        self.relay = StoreRelay(
            lambda: self.directory.peers,
            self.identity,
            reach,
        )
        self.store = RelayedStore(
            self._direct_store(self.client, _STORE_TIMEOUT_S),
            self.relay,
            reach,
        )
        self.directory = EntryDirectory(self.store, record)
        self.owner_link = OwnerLink(
            view=self.view,
            cell=_CELL,
            identity=self.identity,
            timeout_s=_OWNER_TIMEOUT_S,
            on_owner_ended=self.view.mark_owner_ended,
        )
        self.campaign = Campaign(
            store=RelayedStore(
                self._direct_store(_client(), _RENEWAL_TIMEOUT_S),
                self.relay,
                reach,
                self.store.relay_reach,
            ),
            view=self.view,
            cell=_CELL,
            record=record,
            ttl_ms=max(_OWNER_TTL_MS, place.store_limits.min_ttl_ms),
            cpu_share=place.cpu_share,
            run_cell=self.run_cell,
        )
        intake = Intake(
            self.store,
            _CELL,
            self.owner_link,
            self.owned_cell,
            lambda: self.store.is_reachable,
            self.counters,
        )
        handler = Front(intake, lambda: self.config.current)
        self.front = HttpServer(handler.handle)

    @property
    def identity(self) -> PeerIdentity:
        """How this process names itself to peers."""
        return PeerIdentity(
            entry_id=self.place.entry_id,
            incarnation=Incarnation(self.secret[:8]),
            data_centre=self.place.data_centre,
        )

    def owned_cell(self) -> Cell | None:
        """Return the cell while this entry owns it."""
        return self.cell

    def is_ready(self) -> bool:
        """Whether this entry takes callers."""
        return (
            self.config.current is not None
            and not self.is_stopping
            and self.store.is_reachable
        )

    async def run(self) -> None:
        """Serve until SIGTERM."""
        place = self.place
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._follow,
                _CONFIG_PREFIX,
                self.config.apply,
                _CONFIG_WAIT_MS,
            )
            nursery.start_soon(
                self._follow,
                OWNERS_PREFIX,
                self.view.apply,
                _OWNERS_WAIT_MS,
            )
            nursery.start_soon(self.store.run_probe)
            nursery.start_soon(self.relay.run)
            nursery.start_soon(self.directory.run)
            nursery.start_soon(self.owner_link.run)
            # A peer takes an owner that doesn't listen for one that is gone.
            await self._listen(nursery)
            nursery.start_soon(self.campaign.run)
            _LOG.info(
                'started',
                entry=place.entry_id,
                data_centre=place.data_centre,
                cpu_share=place.cpu_share,
            )
            await self._wait_for_stop()
            nursery.cancel_scope.cancel()
        _LOG.info('stopped', entry=place.entry_id)

    async def run_cell(self, tenure: Tenure) -> None:
        """Own the cell until the tenure ends."""
        cell = Cell(
            ownership=CellOwnership(
                cell=tenure.cell,
                guard=tenure.guard,
                is_current=lambda: tenure.is_current(boot_s()),
                may_extend_leases=lambda: tenure.is_current(
                    boot_s() - _HOLD_AFTER_LAPSE_S,
                ),
                give_up=tenure.scope.cancel,
            ),
            context=CellContext(
                store=self.store,
                worker_client=PlatformWorkerCalls(self.client),
                configuration=lambda: self.config.current,
                workers_prefix=WORKERS_PREFIX,
                decode_listing=decode_listing,
                bounds=self.place.bounds,
                hold_ms=round(self.place.bounds.max_hold_ms * _HOLD_SHARE),
                counters=self.counters,
                advice_client=self._advice(),
            ),
        )
        self.cell = cell
        self.counters.tenures_count += 1
        try:
            await cell.run()
        finally:
            self.cell = None

    async def _answer_peer(
        self,
        sender: PeerIdentity,
        call: Message,
    ) -> Message:
        if call.method == STORE_METHOD:
            return await answer_store_call(
                self.store.direct,
                self.store.reach,
                call,
            )
        return await answer_job_call(self.owned_cell, sender, call)

    def _direct_store(self, client: LeanClient, timeout_s: float) -> KvStore:
        return KvStore(client, self.place.store_address, timeout_s=timeout_s)

    def _advice(self) -> PlatformAdviceCalls | None:
        address = self.place.advice_address
        return PlatformAdviceCalls(self.client, address) if address else None

    async def _follow(self, prefix: str, apply: Apply, wait_ms: int) -> None:
        await Follower(self.store, prefix, apply, wait_ms).run()

    async def _listen(self, nursery: trio.Nursery) -> None:
        place = self.place
        if place.front is not None:
            listener = await open_listener(*place.front)
            nursery.start_soon(self.front.serve, listener)
        if place.ready is not None:
            ready = HttpServer(partial(answer_ready, self.is_ready))
            listener = await open_listener(*place.ready)
            nursery.start_soon(ready.serve, listener)
        await self._listen_for_metrics(nursery)
        peers = PeerServer(
            {ttypes.JobCall: self._answer_peer},
            identity=self.identity,
            secret=self.secret,
        )
        listener = await open_listener(place.host, place.peer_ports[0])
        nursery.start_soon(_serve_peers, peers, listener)

    async def _listen_for_metrics(self, nursery: trio.Nursery) -> None:
        metrics = CellMetrics(
            self.counters,
            self.client,
            self.output,
            self.owned_cell,
        )
        try:
            listener = await open_listener(self.place.host, METRICS_PORT)
        except OSError as failure:
            _LOG.warning('no metrics', error=str(failure))
            return
        nursery.start_soon(HttpServer(metrics.handle).serve, listener)

    async def _wait_for_stop(self) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM,
            signal.SIGINT,
            signal.SIGHUP,
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    _LOG.info('settings changed', effect='none until restart')
                    continue
                break
        await self._stop()

    async def _stop(self) -> None:
        """Hand over, answer what is under way, then end."""
        _LOG.info('stopping', entry=self.place.entry_id)
        self.is_stopping = True
        grace_s = self.place.bounds.grace_ms / _MS_PER_S - _STOP_MARGIN_S
        deadline_s = trio.current_time() + grace_s
        with trio.move_on_after(grace_s / 4):
            if self.cell is not None:
                await self.cell.hand_over()
        await self.campaign.resign()
        await trio.sleep(min(_READINESS_GAP_S, grace_s / 2))
        self.front.drain()
        while self.front.busy_count and trio.current_time() < deadline_s:
            await trio.sleep(0.02)


async def _serve_peers(
    peers: PeerServer,
    listener: trio.SocketListener,
) -> None:
    async with trio.open_nursery() as nursery:
        while True:
            stream = await listener.accept()
            nursery.start_soon(peers.serve, stream)


def main() -> None:
    """Run the daemon with the platform's settings file.

    With ``--check FILE`` the settings are only read and checked.
    """
    if len(sys.argv) > 1:
        from marjoramwharf.programs._check_settings import check_settings

        sys.exit(check_settings())
    output = BoundedOutput(sys.stdout.fileno())
    configure_logs(as_json=True, output=output)
    try:
        place = boot.load_place(boot.settings_path())
    except BadSettings as failure:
        _LOG.error('settings refused', error=str(failure))
        sys.exit(2)
    trio.run(Entry(place, output=output).run)


if __name__ == '__main__':
    main()
