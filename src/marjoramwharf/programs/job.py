"""``marjoramwharf-job``: submit, follow and cancel jobs.

Exit codes: 0 done, 1 refused, 2 bad input, 3 unreachable, 4 unknown.
"""

from __future__ import annotations

import pathlib
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Annotated, Any
from urllib.parse import quote

import cappa
import httpx

from marjoramwharf.errors import EntryUnreachable
from marjoramwharf.ids import random_id
from marjoramwharf.programs._client import (
    EntryClient,
    ExitCode,
    Reply,
    entry_urls,
    exit_code_of,
    operator_headers,
    read_object,
)
from marjoramwharf.programs._command_line import (
    EntryOption,
    JsonOption,
    TokenFileOption,
    run_command,
)
from marjoramwharf.programs._output import (
    print_error,
    print_json,
    print_reply,
    print_rows,
)

TEAM_VARIABLE = 'MARJORAMWHARF_TEAM'

# An entry delays its response to a waiting call for at most this long.
_MAX_WAIT_S = 10

_RETRY_S = 1

# An impossible job waits for larger workers, which may never join; the wait
# command doesn't wait for those.
_FINAL_STATES = frozenset(('done', 'failed', 'cancelled', 'impossible'))


@dataclass(frozen=True, slots=True)
class Clock:
    """A monotonic clock in seconds and a sleep function, replaced in tests."""

    now_s: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep


@cappa.command(name='submit')
@dataclass
class Submit:
    """Submit the job that a file describes."""

    file: pathlib.Path
    key: Annotated[
        str,
        cappa.Arg(
            long=True,
            show_default=False,
            help='Idempotency key; use it again to repeat a submission.',
        ),
    ] = field(default_factory=random_id)

    def run(self, client: EntryClient, _clock: Clock, *, as_json: bool) -> int:
        """Print the id of the job, or the key for a repeat."""
        body = read_object(self.file)
        try:
            reply = client.send_to_any(
                'POST',
                '/v1/jobs',
                is_repeatable=False,
                json=body,
                headers={'Idempotency-Key': self.key},
            )
        except EntryUnreachable as failure:
            print_error(failure.message)
            sys.stderr.write(f'repeat with --key {self.key}\n')
            return exit_code_of(failure)
        if reply.exit_code is ExitCode.UNKNOWN:
            sys.stderr.write(f'repeat with --key {self.key}\n')
        return print_reply(
            reply,
            str(reply.body.get('job_id')),
            as_json=as_json,
        )


@cappa.command(name='status')
@dataclass
class Status:
    """Show one job."""

    job_id: str

    def run(self, client: EntryClient, _clock: Clock, *, as_json: bool) -> int:
        """Print the state."""
        return _print_job(_fetch_job(client, self.job_id, 0), as_json=as_json)


@cappa.command(name='wait')
@dataclass
class Wait:
    """Wait until a job has ended; exit code 1 if it did not succeed."""

    job_id: str
    timeout_s: Annotated[float, cappa.Arg(long=True)] = 3600

    def run(self, client: EntryClient, clock: Clock, *, as_json: bool) -> int:
        """Print the final state; returns 4 (unknown) after the timeout."""
        deadline_s = clock.now_s() + self.timeout_s
        while True:
            remaining_s = max(deadline_s - clock.now_s(), 0)
            reply = self._poll(client, min(remaining_s, _MAX_WAIT_S))
            if reply is not None:
                return _final_code(reply, as_json=as_json)
            if clock.now_s() >= deadline_s:
                print_error(f'not ended after {self.timeout_s} s')
                return ExitCode.UNKNOWN
            # An entry may answer a waiting call before the wait is over.
            clock.sleep(_RETRY_S)

    def _poll(self, client: EntryClient, wait_s: float) -> Reply | None:
        # All entries may be replaced while a job runs, so keep polling.
        try:
            reply = _fetch_job(client, self.job_id, wait_s)
        except EntryUnreachable as failure:
            print_error(failure.message)
            return None
        return reply if _is_final(reply) else None


@cappa.command(name='cancel')
@dataclass
class Cancel:
    """Cancel a job; cancelling it again has no effect."""

    job_id: str

    def run(self, client: EntryClient, _clock: Clock, *, as_json: bool) -> int:
        """Print the state."""
        path = f'{_job_path(self.job_id)}/cancel'
        return _print_job(client.send_to_any('POST', path), as_json=as_json)


@cappa.command(name='list')
@dataclass
class ListJobs:
    """List the latest jobs of the team."""

    state: Annotated[
        str,
        cappa.Arg(long=True, show_default=False, help='Only this state.'),
    ] = ''
    limit: Annotated[int, cappa.Arg(long=True)] = 100

    def run(self, client: EntryClient, _clock: Clock, *, as_json: bool) -> int:
        """Print a row for each job; returns 4 if some shards did not answer."""
        query = {'limit': str(self.limit)}
        if client.team:
            query['team'] = client.team
        if self.state:
            query['state'] = self.state
        reply = client.send_to_any('GET', '/v1/jobs', params=query)
        if reply.exit_code is not ExitCode.DONE:
            return print_reply(reply, '', as_json=as_json)
        print_rows(reply.body.get('jobs', []), as_json=as_json)
        failed = reply.body.get('failed_shards')
        if failed:
            shards = ', '.join(failed)
            print_error(
                f'the list is incomplete: no answer for shards {shards}'
            )
            return ExitCode.UNKNOWN
        return ExitCode.DONE


@cappa.command(
    name='marjoramwharf-job',
    help='Submit, follow and cancel jobs.',
    description=(
        'Exit codes: 0 done, 1 refused, 2 bad input, 3 unreachable, 4 unknown.'
    ),
)
@dataclass
class Job:
    """The options and subcommands of ``marjoramwharf-job``."""

    command: cappa.Subcommands[Submit | Status | Wait | Cancel | ListJobs]
    entry: EntryOption
    team: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env(TEAM_VARIABLE, default=''),
            show_default=False,
            help=f'The team; else {TEAM_VARIABLE}.',
        ),
    ]
    token_file: TokenFileOption = None
    as_json: JsonOption = False


def main(
    argv: Sequence[str] | None = None,
    *,
    transport: httpx.BaseTransport | None = None,
    clock: Clock | None = None,
) -> int:
    """Run one command and return its exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    options = cappa.parse(Job, argv=list(arguments))
    return run_command(partial(_run, options, transport, clock or Clock()))


def _run(
    options: Job,
    transport: httpx.BaseTransport | None,
    clock: Clock,
) -> int:
    headers = operator_headers(options.token_file)
    if options.team:
        headers['X-Team'] = options.team
    client = EntryClient(
        entry_urls(options.entry),
        headers=headers,
        transport=transport,
    )
    return options.command.run(client, clock, as_json=options.as_json)


def _job_path(job_id: str) -> str:
    return '/v1/jobs/{0}'.format(quote(job_id, safe=''))


def _fetch_job(client: EntryClient, job_id: str, wait_s: float) -> Reply:
    path = _job_path(job_id)
    return client.send_to_any('GET', f'{path}?wait_s={wait_s:.1f}')


def _is_final(reply: Reply) -> bool:
    # 429 and 503 are temporary, so the wait goes on.
    if reply.status in {429, 503}:
        return False
    is_refused = reply.exit_code is not ExitCode.DONE
    return is_refused or reply.body.get('state') in _FINAL_STATES


def _final_code(reply: Reply, *, as_json: bool) -> ExitCode:
    code = _print_job(reply, as_json=as_json)
    if code is ExitCode.DONE and reply.body['state'] != 'done':
        return ExitCode.REFUSED
    return code


def _print_job(reply: Reply, *, as_json: bool) -> ExitCode:
    if reply.exit_code is not ExitCode.DONE:
        return print_reply(reply, '', as_json=as_json)
    if as_json:
        print_json(reply.body)
    else:
        row: dict[str, Any] = {
            name: content
            for name, content in reply.body.items()
            if not isinstance(content, dict)
        }
        print_rows([row], as_json=False)
    return ExitCode.DONE


if __name__ == '__main__':
    sys.exit(main())
