"""Choice of workers, and the order in which steps are placed."""

from __future__ import annotations

import unittest
from collections import Counter

from marjoramwharf.scheduling.fleet import (
    Fleet,
    Resources,
    Worker,
    WorkerListing,
    WorkerState,
)
from marjoramwharf.scheduling.interference import FillingLoad, InterferenceModel
from marjoramwharf.scheduling.job_state import Run
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.ordering import Tier, step_rank
from marjoramwharf.scheduling.planner import Planner
from tests.scheduling.fixtures import (
    QUEUE,
    QUEUES,
    add_job,
    first_task,
    make_fleet,
    make_step,
    make_worker,
    start_run,
)


def _plan(
    job_table: JobTable,
    fleet: Fleet,
    *,
    now_s: float = 0,
    model: InterferenceModel | None = None,
) -> list[Run]:
    planner = Planner(
        job_table,
        fleet,
        model or InterferenceModel(),
        lambda _step: None,
    )
    plans = planner.plan(QUEUES, now_s=now_s, now_ms=int(now_s * 1_000))
    return [run for plan in plans for run in plan.runs]


class _CountedWorker(Worker):
    """Counts how often the planner checks it."""

    def __init__(self, listing: WorkerListing) -> None:
        """Start with no checks."""
        super().__init__(listing, is_reachable=True)
        self.checks_count = 0

    def is_usable(self, now_s: float) -> bool:
        """Whether new runs may be placed here."""
        self.checks_count += 1
        return super().is_usable(now_s)


class EligibilityTests(unittest.TestCase):
    """Guards against a task on a worker that must not run it."""

    def setUp(self) -> None:
        """Start with an empty job table."""
        self.job_table = JobTable()

    def test_one_rack_of_another_kind(self) -> None:
        """Guards against a step that waits for a rack that can't run it."""
        others = [
            make_worker(f'o{number}', labels=('b', 'r2')) for number in range(2)
        ]
        suited = make_worker('w1', labels=('a', 'r1'))
        job_table = JobTable()
        step = make_step(2, needs_one_rack=True, required_label='a')
        add_job(job_table, 'j', step)
        runs = _plan(job_table, make_fleet(suited, *others))
        self.assertEqual(['w1', 'w1'], [run.worker_id for run in runs])

    def test_resources(self) -> None:
        """Guards against more runs than the resources of a worker allow."""
        fleet = make_fleet(
            make_worker('w1', capacity=Resources(5_000, 9_000, 0))
        )
        add_job(self.job_table, 'j', make_step(4))
        self.assertEqual(2, len(_plan(self.job_table, fleet)))

    def test_label_and_service(self) -> None:
        """Guards against a worker without the label that a step needs."""
        fleet = make_fleet(
            make_worker('w1', labels=('a', 'r1')),
            make_worker('w2', labels=('b', 'r1')),
        )
        add_job(self.job_table, 'j', make_step(3, required_label='b'))
        planned = _plan(self.job_table, fleet)
        self.assertEqual({'w2'}, {run.worker_id for run in planned})

    def test_limit_per_worker(self) -> None:
        """Guards against too many tasks of a step on one worker."""
        fleet = make_fleet(make_worker('w1'), make_worker('w2'))
        add_job(self.job_table, 'j', make_step(6, per_worker_limit=2))
        counts = Counter(run.worker_id for run in _plan(self.job_table, fleet))
        self.assertEqual({'w1': 2, 'w2': 2}, dict(counts))

    def test_draining_worker(self) -> None:
        """Guards against new runs on a draining worker."""
        fleet = make_fleet(make_worker('w1', state=WorkerState.DRAINING))
        add_job(self.job_table, 'j', make_step())
        self.assertFalse(_plan(self.job_table, fleet))

    def test_quarantined_worker(self) -> None:
        """Guards against a faulty worker that uses up the attempts of jobs."""
        bad = make_worker('w1')
        for _ in range(3):
            bad.record_outcome(has_failed=True, now_s=0)
        fleet = make_fleet(bad, make_worker('w2'))
        add_job(self.job_table, 'j', make_step(8))
        planned = _plan(self.job_table, fleet)
        self.assertEqual({'w2'}, {run.worker_id for run in planned})

    def test_quarantine_ends(self) -> None:
        """Guards against a quarantine that lasts long after the failures.

        A lasting task has to start again within six seconds where there is
        capacity, so no worker may stay quarantined for longer.
        """
        worker = make_worker('w1')
        for _ in range(40):
            worker.record_outcome(has_failed=True, now_s=0)
        self.assertFalse(worker.is_usable(1))
        self.assertTrue(worker.is_usable(6))

    def test_failed_task_goes_elsewhere(self) -> None:
        """Guards against a task that is placed again where it failed."""
        fleet = make_fleet(make_worker('w1'), make_worker('w2'))
        job = add_job(self.job_table, 'j', make_step())
        first_task(job).failed_workers.add(make_worker('w1').worker_id)
        planned = _plan(self.job_table, fleet)
        self.assertEqual('w2', planned[0].worker_id)

    def test_data_rack(self) -> None:
        """Guards against a task that runs far from its data."""
        near = make_worker('w1', labels=('a', 'r2'))
        start_run(
            self.job_table,
            first_task(add_job(self.job_table, 'k', make_step())),
            near,
        )
        fleet = make_fleet(make_worker('w2'), near)
        add_job(self.job_table, 'j', make_step(2, data_rack='r2'))
        planned = _plan(self.job_table, fleet)
        self.assertEqual({'w1'}, {run.worker_id for run in planned})

    def test_gang_is_whole_or_nothing(self) -> None:
        """Guards against a part of a gang that reserves resources and waits."""
        small = Resources(4_000, 9_000, 0)
        fleet = make_fleet(
            make_worker('w1', capacity=small, labels=('a', 'r1')),
            make_worker('w2', capacity=small, labels=('a', 'r2')),
        )
        one_rack = make_step(3, is_gang=True, needs_one_rack=True)
        add_job(self.job_table, 'j', one_rack)
        self.assertFalse(_plan(self.job_table, fleet))
        self.assertEqual(0, fleet.workers_of('presses')[0].reserved_millicores)
        add_job(self.job_table, 'k', make_step(3, is_gang=True))
        self.assertEqual(3, len(_plan(self.job_table, fleet)))

    def test_one_rack(self) -> None:
        """Guards against a step whose tasks run on two racks."""
        fleet = make_fleet(
            *(
                make_worker(name, labels=('a', rack))
                for name, rack in zip('abcdef', ('r1', 'r2') * 3, strict=True)
            ),
        )
        add_job(self.job_table, 'j', make_step(12, needs_one_rack=True))
        racks = {
            fleet.workers[run.worker_id].listing.rack
            for run in _plan(self.job_table, fleet)
        }
        self.assertEqual(1, len(racks))


class OrderTests(unittest.TestCase):
    """A burst of jobs that do not fit on the workers at once."""

    def test_least_slack_first(self) -> None:
        """Guards against a job that waits behind one with more slack."""
        job_table = JobTable()
        fleet = make_fleet(
            make_worker('w1', capacity=Resources(2_000, 9_000, 0))
        )
        add_job(job_table, 'long', make_step(estimate_ms=5_000))
        add_job(job_table, 'short', make_step(estimate_ms=300))
        planned = _plan(job_table, fleet)
        self.assertEqual(['short.0.0.0'], [run.task.name for run in planned])

    def test_late_jobs_last(self) -> None:
        """Guards against late jobs that take the place of one still on time."""
        job_table = JobTable()
        fleet = make_fleet(
            make_worker('w1', capacity=Resources(2_000, 9_000, 0))
        )
        add_job(job_table, 'hopeless', make_step(estimate_ms=1_000))
        add_job(job_table, 'fresh', make_step(), accepted_at_ms=2_900)
        planned = _plan(job_table, fleet, now_s=2.9)
        self.assertEqual(['fresh.0.0.0'], [run.task.name for run in planned])

    def test_waiting_steps_cost_little(self) -> None:
        """Guards against a planner that checks each step on each worker.

        Sixty steps wait for a full fleet; the workers may be checked for only
        a few of them, and a smaller step still gets the capacity that is left.
        """
        job_table = JobTable()
        workers = [
            _CountedWorker(make_worker(name).listing) for name in 'abcdefghij'
        ]
        fleet = make_fleet(*workers)
        add_job(job_table, 'first', make_step(50, cpu_millicores=6_000))
        for number in range(60):
            wide = make_step(5, cpu_millicores=6_000, estimate_ms=9_000)
            add_job(job_table, f'wide{number}', wide)
        add_job(job_table, 'small', make_step(5, estimate_ms=9_000))
        names = {run.task.name for run in _plan(job_table, fleet)}
        self.assertIn('small.0.0.0', names)
        checks_count = sum(worker.checks_count for worker in workers)
        self.assertLess(checks_count, 400)

    def test_tiers(self) -> None:
        """Guards against a job that counts as useless too early."""
        job_table = JobTable()
        job = add_job(job_table, 'j', make_step(estimate_ms=1_000))
        step = first_task(job).step
        tiers = [
            step_rank(step, QUEUE, now_ms=now_ms).tier
            for now_ms in (0, 2_300, 2_500, 9_001)
        ]
        self.assertEqual(
            [Tier.ON_TIME, Tier.ON_TIME, Tier.LATE, Tier.USELESS],
            tiers,
        )


class InterferenceTests(unittest.TestCase):
    """Filling tasks that disturb serving tasks, depending on both images."""

    def setUp(self) -> None:
        """Serve image ``s`` on w1 and image ``t`` on w2."""
        self.job_table = JobTable()
        self.workers = [make_worker('w1'), make_worker('w2')]
        self.fleet = make_fleet(*self.workers)
        for worker, image in zip(self.workers, 'st', strict=True):
            serving = make_step(
                4,
                cpu_millicores=4_000,
                is_lasting=True,
                image=image,
                target_tail_ms=18,
            )
            job = add_job(self.job_table, f'serve-{image}', serving)
            for task in job.occurrences[0].steps[0].tasks:
                start_run(self.job_table, task, worker)
        self.model = InterferenceModel()

    def _train(self, serving: str, factor: float) -> None:
        """Train the model: a tenth of a worker multiplies the tail latency."""
        baseline = 1 / 0.45
        for _ in range(60):
            self.model.observe(
                serving,
                [FillingLoad('fill', 0.1)],
                lost_headroom=baseline - baseline / factor,
                variance=0.05,
            )

    def test_filling_avoids_disturbed_images(self) -> None:
        """Guards against filling tasks beside what they disturb most."""
        self._train('s', 6)
        self._train('t', 1)
        fills = make_step(3, cpu_millicores=3_000, image='fill', fills=True)
        add_job(self.job_table, 'j', fills)
        planned = _plan(self.job_table, self.fleet, model=self.model)
        self.assertEqual({'w2'}, {run.worker_id for run in planned})

    def test_filling_waits_while_it_has_slack(self) -> None:
        """Guards against harm by a filling task that could still wait."""
        self._train('s', 6)
        self._train('t', 6)
        fills = make_step(2, cpu_millicores=3_000, image='fill', fills=True)
        add_job(self.job_table, 'j', fills)
        add_job(self.job_table, 'busy', make_step(4, cpu_millicores=6_000))
        early = _plan(self.job_table, self.fleet, model=self.model)
        names = {run.task.step.request.image for run in early}
        self.assertNotIn('fill', names)
        late = _plan(self.job_table, self.fleet, now_s=1.9, model=self.model)
        self.assertEqual(2, len(late))
        self.assertEqual(1, len({run.worker_id for run in late}))

    def test_serving_images_are_separated(self) -> None:
        """Guards against serving tasks of two images on one worker.

        Such a worker tolerates only the filling images that both tolerate.
        """
        workers = [make_worker(name) for name in ('a', 'b', 'c')]
        fleet = make_fleet(*workers)
        for image in ('x', 'y', 'x', 'y'):
            serving = make_step(
                3,
                cpu_millicores=5_000,
                is_lasting=True,
                image=image,
                target_tail_ms=18,
            )
            add_job(
                self.job_table, f'{image}{len(self.job_table.jobs)}', serving
            )
        _plan(self.job_table, fleet)
        for worker in workers:
            images = {run.step.image for run in worker.serving_runs()}
            self.assertLessEqual(len(images), 1)

    def test_more_filling_beside_tail_over_target(self) -> None:
        """Guards against filling tasks that keep a tail over its target.

        A tail latency over its target would recover once the present filling
        tasks have ended, so adding more of them does harm.
        """
        self._train('s', 6)
        self._train('t', 6)
        present = make_step(3, cpu_millicores=4_000, image='fill', fills=True)
        job = add_job(self.job_table, 'present', present)
        for task in job.occurrences[0].steps[0].tasks:
            start_run(self.job_table, task, self.workers[0])
        add_job(self.job_table, 'next', make_step(image='fill', fills=True))
        self.assertFalse(_plan(self.job_table, self.fleet, model=self.model))

    def test_weights_are_learned(self) -> None:
        """Guards against a model that confuses the effects of two images."""
        for number in range(300):
            shares = (0.1, 0.02) if number % 2 else (0.02, 0.1)
            loads = [
                FillingLoad('heavy', shares[0]),
                FillingLoad('light', shares[1]),
            ]
            self.model.observe(
                's',
                loads,
                lost_headroom=7 * shares[0] + 0.5 * shares[1],
                variance=0.05,
            )
        self.assertAlmostEqual(7, self.model.weight('heavy', 's'), delta=0.7)
        self.assertAlmostEqual(0.5, self.model.weight('light', 's'), delta=0.7)

    def test_filling_stays_within_unused_cpu(self) -> None:
        """Guards against more filling tasks than there is unused CPU."""
        fills = make_step(40, cpu_millicores=3_000, image='x', fills=True)
        add_job(self.job_table, 'j', fills)
        _plan(self.job_table, self.fleet, now_s=1.9)
        for worker in self.workers:
            self.assertLessEqual(
                worker.filling_millicores, 32_000 - 0.45 * 16_000
            )
