"""Structured logging; each part of the scheduler has a fixed prefix.

>>> log = part_logger('capacity')
>>> log.info('shard taken', shard=4, epoch=7)  # doctest: +SKIP
capacity: shard taken  shard=4 epoch=7
"""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

from marjoramwharf.log_output import BoundedOutput

# The values of these keys are masked in log lines.
_SECRET_FIELDS = frozenset(('peer_secret', 'operator_token', 'proof', 'token'))


def configure_logs(
    *,
    as_json: bool,
    level: int = logging.INFO,
    output: BoundedOutput | None = None,
) -> None:
    """Set up logging, as JSON lines or in a format for people.

    Without ``output`` the lines go to standard error, which suits command
    line programs.
    """
    factory: Any = structlog.PrintLoggerFactory(file=sys.stderr)
    if output is not None:

        def bounded(*_args: Any) -> BoundedOutput:
            return output

        factory = bounded
    renderer: Any = structlog.dev.ConsoleRenderer(colors=False)
    if as_json:
        renderer = structlog.processors.JSONRenderer(sort_keys=True)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            _hide_secrets,
            _add_prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=factory,
        cache_logger_on_first_use=output is not None,
    )


def part_logger(part: str) -> Any:
    """Return a logger whose lines have the name of the part as prefix."""
    return structlog.get_logger(part=part)


def _hide_secrets(
    _logger: Any,
    _method: str,
    event: MutableMapping[str, Any],
) -> MutableMapping[str, Any]:
    for name in _SECRET_FIELDS.intersection(event):
        event[name] = '***'
    return event


def _add_prefix(
    _logger: Any,
    _method: str,
    event: MutableMapping[str, Any],
) -> MutableMapping[str, Any]:
    part = event.pop('part', 'main')
    message = event['event']
    event['event'] = f'{part}: {message}'
    return event
