"""A TCP proxy in front of a worker, whose link can be cut."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from review.lib.http11 import reset

_CHUNK_BYTES = 65_536


@dataclass
class LinkProxy:
    """Passes bytes on to ``target_port``.

    ``cut_before_answer`` sees what is about to be sent to the worker and may
    ask for a cut: the worker gets the request, its answer is lost, and all
    connections over the link are reset. New ones are refused until ``restore``.
    """

    host: str
    target_port: int
    cut_before_answer: Callable[[bytes], bool] | None = None
    on_cut: Callable[[], None] | None = None
    port: int = 0
    _server: asyncio.AbstractServer | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _dark: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> str:
        """The address as ``host:port``."""
        return f'{self.host}:{self.port}'

    async def restore(self) -> None:
        """Accept connections, on the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            reset(writer)
        if self.on_cut is not None:
            self.on_cut()

    def lose_senders(self) -> None:
        """Let all present connections end in a machine that has lost power.

        Nothing more arrives over them at the worker, not even their end, so it
        keeps them open.
        """
        self._dark |= self._writers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            worker_reader, worker_writer = await asyncio.open_connection(
                self.host, self.target_port
            )
        except OSError:
            reset(writer)
            return
        is_last = asyncio.Event()
        self._writers |= {writer, worker_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass_requests(reader, worker_writer, is_last))
                group.create_task(self._pass_answers(worker_reader, writer, is_last))
        except* OSError:
            if writer in self._dark:
                await self._keep_open(worker_reader)
        finally:
            self._writers -= {writer, worker_writer}
            reset(writer)
            reset(worker_writer)

    async def _keep_open(self, worker_reader: asyncio.StreamReader) -> None:
        """Hold the connection to the worker until the worker ends it."""
        try:
            while await worker_reader.read(_CHUNK_BYTES):
                continue
        except OSError:
            return

    async def _pass_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_last: asyncio.Event,
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            if self.cut_before_answer is not None and self.cut_before_answer(chunk):
                is_last.set()
            writer.write(chunk)
            await writer.drain()
        raise ConnectionError('the sender has closed the connection')

    async def _pass_answers(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_last: asyncio.Event,
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            if is_last.is_set():
                self.cut()
                return
            writer.write(chunk)
            await writer.drain()
        raise ConnectionError('the worker has closed the connection')
