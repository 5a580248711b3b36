"""Case 8: a job runs after its cancelling was answered with 410."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standin_2 import CANCEL_MS, LOSE, STOP_MS, CannotRun, main

JOB = '00000000000000c8'
LEAVES_S = 0.5
WATCHED_S = 15.0


async def play(case):
    lost = []

    def before_call(port, method, path, sent):
        """Leave one write unanswered; it is carried out 4 s later."""
        keys = [row['Key'] for row in sent.get('Puts') or []]
        if case.trouble and not lost and any(JOB in key for key in keys):
            lost.append((method, path, sent))
            case.record('store-write-held', keys=keys)
            asyncio.get_running_loop().call_later(4.0, carry_out)
            return LOSE
        return None

    def carry_out():
        status, _ = case.store.execute(lost[0][0], lost[0][1], {}, lost[0][2])
        case.record('store-write-carried-out', status=status)

    case.store.before_call = before_call
    job = {
        'TaskSpec': 'watch',
        'Steps': [{'Count': 2, 'Cpu': 1000, 'MemMb': 100, 'EstimateMs': 1000, 'LongRunning': True}],
    }
    await case.call(case.entries[0], 'POST', JOB, job, timeout_s=LEAVES_S)
    status, _ = await case.call(case.entries[1], 'DELETE', JOB)
    if status not in (200, 410):
        raise CannotRun('the cancelling was not acknowledged')
    acknowledged_s = time.monotonic() - case.record.began_s
    await asyncio.sleep(WATCHED_S)
    await case.call(case.entries[1], 'GET', JOB)
    limit_s = acknowledged_s + (CANCEL_MS + STOP_MS) / 1000
    running = [
        run.task for worker in case.workers for run in worker.runs.values()
    ]
    late = [f['task'] for at, f in case.starts(JOB) if at > acknowledged_s + CANCEL_MS / 1000]
    case.record('at-the-end', running=running, started_late=late, limit_s=round(limit_s, 3))
    if late or running:
        return 'UNASKED: tasks run after the cancelling was acknowledged'
    return ''


main(pathlib.Path(__file__).parent, play, behave=lambda *_: ('lasts', 0))
