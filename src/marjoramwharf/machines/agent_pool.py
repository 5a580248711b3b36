"""A pool of HTTP clients, one for the agent of each worker."""

from __future__ import annotations

import trio

from marjoramwharf.errors import WorkerUnreachable
from marjoramwharf.ids import EntryId, WorkerId
from marjoramwharf.machines.agent import HttpWorkerAgent
from marjoramwharf.machines.worker_table import WorkerTable


class AgentPool:
    """Agents by worker, created at first use or when the URL changes."""

    def __init__(
        self,
        worker_table: WorkerTable,
        entry_id: EntryId,
        *,
        connections_count: int,
    ) -> None:
        """Open at most ``connections_count`` connections to each worker."""
        self._worker_table = worker_table
        self._entry_id = entry_id
        self._connections_count = connections_count
        self._agents: dict[WorkerId, tuple[str, HttpWorkerAgent]] = {}

    def get_agent(self, worker_id: WorkerId) -> HttpWorkerAgent:
        """Return the agent of a worker.

        Raises ``WorkerUnreachable`` if it is neither listed nor has an agent.
        """
        worker = self._worker_table.find(worker_id)
        cached = self._agents.get(worker_id)
        if cached is not None and (worker is None or worker.url == cached[0]):
            return cached[1]
        if worker is None:
            raise WorkerUnreachable(
                message=f'{worker_id} is not a listed worker'
            )
        agent = HttpWorkerAgent(
            worker.url,
            self._entry_id,
            connections_count=self._connections_count,
        )
        self._agents[worker_id] = (worker.url, agent)
        return agent

    async def close(self, worker_id: WorkerId) -> None:
        """Close the connections to a worker; a later call opens new ones."""
        cached = self._agents.pop(worker_id, None)
        if cached is not None:
            await cached[1].aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        with trio.CancelScope(shield=True), trio.move_on_after(1):
            for worker_id in tuple(self._agents):
                await self.close(worker_id)
