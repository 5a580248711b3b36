"""Keeps an unexpected error in one task from ending the others.

An exception that leaves a task ends all tasks of its nursery, and so in the
end the process. A task that serves one connection, one message or one worker
is isolated: its error is logged with a traceback, and the others go on.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from marjoramwharf.logs import part_logger

_LOG = part_logger('main')
_RESTART_PAUSE_S = 1.0


async def run_isolated(
    task: str,
    call: Callable[..., Awaitable[object]],
    *args: Any,
) -> bool:
    """Run a call to its end; log an error instead of raising it.

    Returns whether the call ended without an error. ``task`` names it in the
    log.

    >>> import trio
    >>> trio.run(run_isolated, 'pause', trio.sleep, 0)
    True
    """
    try:
        await call(*args)
    except Exception:
        log_unexpected(task)
        return False
    return True


async def run_restarted(
    task: str,
    call: Callable[..., Awaitable[object]],
    *args: Any,
) -> None:
    """Run a call that never returns; start it anew after an error."""
    while not await run_isolated(task, call, *args):
        await trio.sleep(_RESTART_PAUSE_S)


def log_unexpected(task: str) -> None:
    """Log the exception that is being handled, with its traceback."""
    _LOG.exception('unexpected error', task=task)
