"""The components of ``marjoramwharf-entry``, and how they are connected.

This module is the composition root of the daemon: it creates all components
and connects them. Nothing of them runs yet.
"""

from __future__ import annotations

import random
import time
from typing import Any

import trio
from quart_trio import QuartTrio

from marjoramwharf.contracts.allocator import CapacityAllocator
from marjoramwharf.contracts.claims import ClaimStore
from marjoramwharf.contracts.lending import CapacityManager
from marjoramwharf.contracts.note_api import bearer_check, note_blueprint
from marjoramwharf.contracts.note_registry import NoteRegistry
from marjoramwharf.contracts.ownership import Ownership
from marjoramwharf.contracts.permit_pool import PermitPool
from marjoramwharf.ids import Incarnation, WorkerId, random_id
from marjoramwharf.links.directory import DirectoryClient
from marjoramwharf.links.members import Member, MemberView, Registration
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.peer_pool import PeerPool
from marjoramwharf.links.resilient_store import ResilientStore
from marjoramwharf.links.store import Store
from marjoramwharf.machines.agent_pool import AgentPool
from marjoramwharf.machines.worker_table import WorkerTable
from marjoramwharf.metrics import Metrics
from marjoramwharf.programs._batch_path import BatchPath, BatchPathDependencies
from marjoramwharf.programs._gauges import GaugeDependencies, Gauges
from marjoramwharf.programs._job_shards import PREFIX as JOB_PREFIX
from marjoramwharf.programs._platform import (
    CapacityShards,
    DirectoryPoller,
    incarnation_lookup,
)
from marjoramwharf.programs._service_path import (
    ServicePath,
    ServicePathDependencies,
)
from marjoramwharf.programs._web import WebDependencies, build_app
from marjoramwharf.service.drain import DrainGate
from marjoramwharf.service.http_api import (
    ServiceDependencies,
    service_blueprint,
)
from marjoramwharf.settings import EntrySettings
from marjoramwharf.zones.topology import build_topology

_MS_PER_S = 1_000


class Entry:
    """All components of one entry, connected to each other."""

    def __init__(
        self,
        settings: EntrySettings,
        store: ResilientStore,
        directory: DirectoryClient,
    ) -> None:
        """Create and connect all components; nothing runs yet."""
        self.settings = settings
        self.store = store
        self.directory = directory
        self.rng = random.Random()
        self.identity = PeerIdentity(
            settings.identity,
            Incarnation(random_id()),
            settings.home,
        )
        self.metrics = Metrics()
        self.gate = DrainGate()
        self.worker_table = WorkerTable()
        self.agents = AgentPool(
            self.worker_table,
            settings.identity,
            connections_count=settings.capacity.connections_per_session,
        )
        self._make_links()
        self._make_capacity()
        self._make_service()
        self._make_batch()
        self.gauges = Gauges(
            GaugeDependencies(
                store=self.store,
                capacity_manager=self.capacity_manager,
                ownership=self.ownership,
                service_path=self.service_path,
                notes=self.notes,
                gate=self.gate,
            ),
            self.metrics.registry,
        )

    def app(self) -> QuartTrio:
        """Return the HTTP application with all routes."""
        is_operator = bearer_check(self.settings.operator_token)
        return build_app(
            WebDependencies(
                gate=self.gate,
                metrics=self.metrics,
                collect=self.gauges.collect,
                is_operator=is_operator,
                is_ready=self.is_ready,
                status=self.status,
            ),
            note_blueprint(self.notes, is_operator),
            service_blueprint(
                ServiceDependencies(
                    serve=self.service_path.serve,
                    look_up=self.service_path.look_up,
                    services=lambda: self.service_path.services,
                    clock=trio.current_time,
                    gate=self.gate,
                    metrics=self.metrics,
                    settings=self.settings.service,
                ),
            ),
            self.batch_path.blueprint(),
        )

    def is_ready(self) -> bool:
        """Tell whether the entry can serve requests."""
        return self.notes.is_synchronised and bool(self.worker_table.known())

    def status(self) -> dict[str, Any]:
        """Return the status of this entry that operators see."""
        return {
            'entry': self.settings.entry_id,
            'incarnation': self.identity.incarnation,
            'state': self.gate.state.value,
            'revision': self.notes.current.revision,
            'store': self.store.health.value,
            'owned_workers': len(self.capacity_manager.allocator.ledgers),
            'known_workers': len(self.worker_table.known()),
            'in_flight': self.gate.in_flight_count,
            'waiting': self.service_path.waiting_count(),
            'in_doubt': self.service_path.settlement.in_doubt_count,
        }

    def _make_links(self) -> None:
        settings = self.settings
        member = Member(
            settings.identity,
            self.identity.incarnation,
            settings.home,
            settings.listen.host,
            settings.listen.peer_port,
            settings.listen.http_port,
        )
        self.registration = Registration(
            self.store,
            member,
            ttl_s=settings.capacity.entry_lease_s,
        )
        self.members = MemberView(self.store)
        self.peers = PeerPool(
            self.members,
            identity=self.identity,
            secret=settings.peer_secret,
            rng=self.rng,
        )

    def _make_capacity(self) -> None:
        settings = self.settings
        self.ownership = _build_capacity_ownership(
            self.store, self, '/own/capacity'
        )
        self.capacity_manager = CapacityManager(
            self.identity,
            settings.capacity,
            PermitPool(self._services_of),
            allocator=CapacityAllocator(),
            get_agent=self.agents.get_agent,
            peers=self.peers.clients,
            rng=self.rng,
        )
        self.capacity_manager.borrower.close_connections = self.agents.close
        self.capacity_shards = CapacityShards(
            ownership=self.ownership,
            view=self.members,
            worker_table=self.worker_table,
            capacity_manager=self.capacity_manager,
            settings=settings.capacity,
            clock=trio.current_time,
        )

    def _make_service(self) -> None:
        settings = self.settings
        self.notes = NoteRegistry(
            self.store,
            entry=settings.identity,
            now_ms=lambda: int(time.time() * _MS_PER_S),
        )
        self.service_path = ServicePath(
            ServicePathDependencies(
                settings=settings.service,
                topology=build_topology(settings.topology),
                home=settings.home,
                worker_table=self.worker_table,
                capacity_manager=self.capacity_manager,
                agents=self.agents,
                claims=ClaimStore(
                    self.store,
                    ttl_s=settings.service.claim_ttl_s,
                    body_limit_bytes=settings.service.claim_body_bytes,
                    clock=trio.current_time,
                ),
                rng=self.rng,
                clock=trio.current_time,
            ),
        )
        self.notes.add_listener(self.service_path.apply_configuration)
        self.directory_poller = DirectoryPoller(
            client=self.directory,
            worker_table=self.worker_table,
            poll_s=settings.directory.poll_ms / _MS_PER_S,
            on_change=self._on_workers_changed,
            on_removed=self._on_instance_removed,
        )

    def _make_batch(self) -> None:
        self.job_ownership = Ownership(
            self.store,
            JOB_PREFIX,
            self.settings.batch.shard_count,
            entry_id=self.settings.identity,
            incarnation=self.identity.incarnation,
            members=incarnation_lookup(self.members),
            candidates=lambda: frozenset(
                member.entry_id for member in self.members.live()
            ),
        )
        self.batch_path = BatchPath(
            BatchPathDependencies(
                settings=self.settings,
                store=self.store,
                ownership=self.job_ownership,
                capacity_ownership=self.ownership,
                view=self.members,
                worker_table=self.worker_table,
                capacity_manager=self.capacity_manager,
                agents=self.agents,
                peers=self.peers.clients,
                gate=self.gate,
                rng=self.rng,
                clock=trio.current_time,
            ),
        )
        self.notes.add_listener(self.batch_path.apply_configuration)

    def _on_workers_changed(self) -> None:
        self.service_path.on_workers_changed()
        self.batch_path.on_workers_changed()

    def _on_instance_removed(self, name: str) -> None:
        self.service_path.settlement.forget(WorkerId(name))
        self.batch_path.on_instance_removed(WorkerId(name))

    def _services_of(self, worker_id: WorkerId) -> frozenset[str]:
        worker = self.worker_table.find(worker_id)
        return frozenset() if worker is None else worker.services


def _build_capacity_ownership(
    store: Store, entry: Entry, prefix: str
) -> Ownership:
    return Ownership(
        store,
        prefix,
        entry.settings.capacity.shard_count,
        entry_id=entry.settings.identity,
        incarnation=entry.identity.incarnation,
        members=incarnation_lookup(entry.members),
    )
