"""Derives the figures at the two-year target from the fitted lines.

``docs/CAPACITY.md`` quotes these figures; its assumptions are the constants
of this module.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

from tools.slope_measuring import Line

Lines: TypeAlias = Mapping[str, Mapping[str, Line]]

WORKERS_COUNT = 5_200
ENTRIES_COUNT = 60
DATA_CENTRES_COUNT = 6
JOB_SHARDS_COUNT = 16
TASKS_COUNT = 132_000
BATCH_TASKS_COUNT = 120_000
STARTS_PER_S = 1_100
JOBS_PER_DAY = 50_000
CHANGES_PER_DAY = 19_000
TEAMS_COUNT = 74
# The target states no number of services; each team has 12 quotas.
SERVICES_COUNT = 40
QUOTAS_COUNT = 12 * TEAMS_COUNT
# 100 failures and 1,500 restarts a day; each changes the directory list three
# times: the worker is leaving, removed and added again.
LIST_CHANGES_PER_DAY = 3 * 1_600
_DAY_S = 86_400
_US_PER_S = 1e6
_KILO = 1_000
_MEGA = 1_000_000
_GRANTS_PER_WORKER = 3
# A shard commits 10 log entries per second; a snapshot follows 200 of them (the
# default setting).
_COMMITS_PER_S = 10
_SNAPSHOT_INTERVAL_S = 20
_SNAPSHOT_PART_BYTES = 262_144
# The store lease of 5 s is renewed after each third of it.
_KEEP_ALIVE_INTERVAL_S = 5 / 3
# An entry watches members and release notes. It reads the ownership records of
# capacity and of jobs every 2 s.
_WATCHES_PER_ENTRY = 2
_OWNERSHIP_READS_PER_S = 2 / 2
_NOTE_CHECK_INTERVAL_S = 4


def derive_target_figures(lines: Lines) -> dict[str, float]:
    """Return the derived figures by name; each name ends with the unit."""
    entry_sums = {
        f'{entries} entries: {name}': figure
        for entries in (9, 30, 120)
        for name, figure in (
            *_entry_traffic(lines, entries).items(),
            *_entry_processor_shares(lines, entries).items(),
        )
        if name.startswith('entry: sum of')
    }
    return {
        **_configuration_figures(lines),
        **_worker_figures(lines),
        **_entry_traffic(lines, ENTRIES_COUNT),
        **_entry_processor_shares(lines, ENTRIES_COUNT),
        **entry_sums,
        **_memory_figures(lines),
        **_shard_figures(lines),
        **_store_figures(lines),
    }


def _configuration_figures(lines: Lines) -> dict[str, float]:
    counts = {
        'services': SERVICES_COUNT,
        'instances': WORKERS_COUNT,
        'quotas': QUOTAS_COUNT,
    }
    changes_per_s = CHANGES_PER_DAY / _DAY_S

    def sum_of(figure: str) -> float:
        return sum(
            lines[name][figure].at(count) for name, count in counts.items()
        )

    head_bytes = sum_of('wire_bytes')
    return {
        'configuration: head KB': head_bytes / _KILO,
        'configuration: changes/s': changes_per_s,
        'configuration: head KB/s to an entry': head_bytes
        * changes_per_s
        / _KILO,
        'configuration: core % of an entry': sum_of('decode_us')
        * changes_per_s
        / _US_PER_S
        * 100,
        'configuration: apply a note ms': sum_of('apply_us') / _KILO,
    }


def _worker_figures(lines: Lines) -> dict[str, float]:
    tasks = TASKS_COUNT / WORKERS_COUNT
    reply = lines['heartbeat']
    rates = _entry_traffic(lines, ENTRIES_COUNT)
    entries_per_worker = ENTRIES_COUNT / WORKERS_COUNT
    list_per_data_centre = rates['entry: sum of these KB/s'] - (
        rates['entry: list KB/s'] * (1 - DATA_CENTRES_COUNT / ENTRIES_COUNT)
    )
    return {
        'worker: share of the entries KB/s': entries_per_worker
        * rates['entry: sum of these KB/s'],
        'worker: share, a list to each data centre KB/s': entries_per_worker
        * list_per_data_centre,
        'worker: tasks': tasks,
        'worker: heartbeat reply KB/s': reply['wire_bytes'].at(tasks) / _KILO,
        'worker: tasks at which the reply is 2 KB/s': (
            2 * _KILO - reply['wire_bytes'].intercept
        )
        / reply['wire_bytes'].slope,
    }


def _entry_traffic(lines: Lines, entries: int) -> dict[str, float]:
    owned = WORKERS_COUNT / entries
    peers = entries - 1
    grants = _GRANTS_PER_WORKER * owned
    tasks = TASKS_COUNT / WORKERS_COUNT
    summaries = peers * lines['summary']['wire_bytes'].at(owned)
    rates = {
        'list': lines['roster']['wire_bytes'].at(WORKERS_COUNT),
        'summaries sent': summaries,
        'summaries received': summaries,
        'renewals, both ways': 2 * lines['renewed']['wire_bytes'].at(grants),
        'heartbeat replies': owned * lines['heartbeat']['wire_bytes'].at(tasks),
    }
    shown = {
        f'entry: {name} KB/s': rate / _KILO for name, rate in rates.items()
    }
    return {
        'entry: owned workers': owned,
        **shown,
        'entry: sum of these KB/s': sum(shown.values()),
    }


def _entry_processor_shares(lines: Lines, entries: int) -> dict[str, float]:
    """Return the share of a core that each periodic task of an entry takes."""
    owned = WORKERS_COUNT / entries
    peers = entries - 1
    grants = _GRANTS_PER_WORKER * owned
    tasks = TASKS_COUNT / WORKERS_COUNT
    summary, reply = lines['summary'], lines['heartbeat']
    renewed = lines['renewed']
    times_us = {
        'list': _list_processing_us(lines),
        'summaries, build and encode': lines['ledgers']['summary_us'].at(owned)
        + peers * summary['encode_us'].at(owned),
        'summaries, decode': peers * summary['decode_us'].at(owned),
        'heartbeat calls': owned
        * (reply['call_us'].at(tasks) + reply['take_in_us'].at(tasks)),
        'renewals': lines['wallet']['renewal_us'].at(grants)
        + renewed['encode_us'].at(grants)
        + renewed['decode_us'].at(grants),
    }
    shares = {
        f'entry: {name}, core %': spent_us / _US_PER_S * 100
        for name, spent_us in times_us.items()
    }
    return {
        **shares,
        'entry: sum of these, core %': sum(shares.values()),
        'entry: choices of 1% of a core, /s': _US_PER_S
        / lines['choice']['choice_us'].at(WORKERS_COUNT)
        / 100,
    }


def _list_processing_us(lines: Lines) -> float:
    """Return the processor time for the directory list per second, in us.

    The list is polled once per second. An unchanged list costs the repeated
    poll; a changed list is parsed and applied as well.
    """
    costs = lines['roster']
    changed_us = costs['parse_us'].at(WORKERS_COUNT) + costs['apply_us'].at(
        WORKERS_COUNT,
    )
    changes_per_s = LIST_CHANGES_PER_DAY / _DAY_S
    return costs['repeat_us'].at(WORKERS_COUNT) + changes_per_s * changed_us


def _memory_figures(lines: Lines) -> dict[str, float]:
    owned = WORKERS_COUNT / ENTRIES_COUNT
    grants = _GRANTS_PER_WORKER * owned
    per_shard = BATCH_TASKS_COUNT / JOB_SHARDS_COUNT
    parts = {
        'imports': lines['imports']['imports'].intercept,
        'roster': lines['roster']['resident_bytes'].at(WORKERS_COUNT),
        'list body': lines['roster']['wire_bytes'].at(WORKERS_COUNT),
        'ledgers': lines['ledgers']['resident_bytes'].at(owned),
        'wallet': lines['wallet']['resident_bytes'].at(grants),
        'one job shard': lines['shard']['resident_bytes'].at(per_shard),
        'its snapshot': lines['shard']['snapshot_bytes'].at(per_shard),
    }
    shown = {f'memory: {name} MB': size / _MEGA for name, size in parts.items()}
    return {**shown, 'memory: sum MB': sum(shown.values())}


def _shard_figures(lines: Lines) -> dict[str, float]:
    starts = STARTS_PER_S / JOB_SHARDS_COUNT / _COMMITS_PER_S
    # A task has one event for its start and one for its end.
    events = 2 * starts
    per_shard = BATCH_TASKS_COUNT / JOB_SHARDS_COUNT
    jobs = JOBS_PER_DAY / JOB_SHARDS_COUNT
    shard, recovery = lines['shard'], lines['recovery']
    snapshot_bytes = shard['snapshot_bytes'].at(per_shard)
    return {
        'shard: events in a commit': events,
        'shard: log entry KB': lines['commit']['start_entry_bytes'].at(events)
        / _KILO,
        'shard: commits, core %': lines['commit']['commit_us'].at(events)
        * _COMMITS_PER_S
        / _US_PER_S
        * 100,
        'shard: snapshot MB': snapshot_bytes / _MEGA,
        'shard: snapshot parts': snapshot_bytes / _SNAPSHOT_PART_BYTES,
        'shard: snapshot blocks ms': shard['snapshot_us'].at(per_shard) / _KILO,
        'shard: recovery of a day of jobs ms': recovery['recovery_us'].at(jobs)
        / _KILO,
        'shard: recovery of a day of jobs MB': recovery['read_bytes'].at(jobs)
        / _MEGA,
        'shard: recovery store calls': recovery['store_calls'].at(jobs),
    }


def _store_figures(lines: Lines) -> dict[str, float]:
    per_shard = BATCH_TASKS_COUNT / JOB_SHARDS_COUNT
    parts = (
        lines['shard']['snapshot_bytes'].at(per_shard) / _SNAPSHOT_PART_BYTES
    )
    # Three more calls per snapshot delete 200 log entries and the former parts.
    snapshots = JOB_SHARDS_COUNT * (parts + 3) / _SNAPSHOT_INTERVAL_S
    writes = {
        'keep-alives': ENTRIES_COUNT / _KEEP_ALIVE_INTERVAL_S,
        'job commits': float(JOB_SHARDS_COUNT * _COMMITS_PER_S),
        'snapshots': snapshots,
        'notes': CHANGES_PER_DAY / _DAY_S,
    }
    reads = {
        'waiting watches': float(ENTRIES_COUNT * _WATCHES_PER_ENTRY),
        'ownership': ENTRIES_COUNT * _OWNERSHIP_READS_PER_S,
        'note checks': ENTRIES_COUNT / _NOTE_CHECK_INTERVAL_S,
        'head reads of notes': 3 * CHANGES_PER_DAY / _DAY_S,
    }
    return {
        **{f'store: {name}, writes/s': rate for name, rate in writes.items()},
        'store: sum, writes/s': sum(writes.values()),
        **{f'store: {name}, reads/s': rate for name, rate in reads.items()},
        'store: sum, reads/s': sum(reads.values()),
    }
