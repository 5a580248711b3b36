"""Log format of the tests."""

from __future__ import annotations

import structlog


def use_plain_tracebacks() -> None:
    """Print tracebacks without local variables.

    The default format prints all of them, which takes minutes for objects that
    refer to all workers and jobs of a cell.
    """
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt='iso'),
            structlog.processors.add_log_level,
            structlog.dev.ConsoleRenderer(
                colors=False,
                exception_formatter=structlog.dev.plain_traceback,
            ),
        ],
    )
