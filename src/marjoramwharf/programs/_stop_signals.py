"""Signals by which the platform or an operator asks a daemon to stop."""

from __future__ import annotations

import signal

import trio

from marjoramwharf.logs import part_logger

_LOG = part_logger('main')


async def wait_for_stop() -> None:
    """Return at SIGTERM or SIGINT; a SIGHUP is logged and has no effect."""
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                return
            _LOG.info('settings change ignored', effect='none until restart')
