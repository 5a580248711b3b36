"""One soak with one seed: faults, callers, and the checks afterwards."""

from __future__ import annotations

import pathlib
import random
import shutil
import tempfile
from collections import Counter
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field

import trio

from tools.soak import faults
from tools.soak.callers import Callers
from tools.soak.checks import Run, find_violations
from tools.soak.fleet import SoakFleet

# After the faults, all accepted jobs have to end within this time: leases of
# lost runs last ten seconds, and a new owner may have to wait for one.
_RECOVERY_LIMIT_S = 45.0


@dataclass
class SoakReport:
    """What was played and what was found."""

    seed: int
    faults: Counter[str] = field(default_factory=Counter)
    jobs_count: int = 0
    accepted_count: int = 0
    runs: list[Run] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    failure: Exception | None = None  # ended the soak before its checks

    def summary(self) -> str:
        """Return one line for people."""
        begin = f'seed {self.seed}: {self.faults.total()} faults, '
        if self.failure is not None:
            return f'{begin}no result: {self.failure!r}'
        return (
            f'{begin}{self.accepted_count} of {self.jobs_count} jobs accepted, '
            f'{len(self.runs)} runs, {len(self.violations)} violations'
        )


async def run_soak(
    seed: int,
    duration_s: float,
    logs: pathlib.Path,
    kinds: Sequence[str] = faults.ALL_KINDS,
) -> SoakReport:
    """Play a soak.

    Keeps the logs below ``logs`` if a promise was broken, or if the soak ended
    without a result.
    """
    report = SoakReport(seed)
    with ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        fleet = SoakFleet(folder)
        fleet.start(stack)
        plan = faults.make_plan(seed, duration_s, kinds)
        try:
            await _play(fleet, report, plan, duration_s)
        except Exception as failure:
            report.failure = failure
        if report.violations or report.failure is not None:
            kept = logs / f'soak-{seed}'
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept)
    return report


async def _play(
    fleet: SoakFleet,
    report: SoakReport,
    plan: list[faults.Fault],
    duration_s: float,
) -> None:
    report.faults.update(fault.kind for fault in plan)
    callers = Callers(fleet, random.Random(report.seed))
    async with trio.open_nursery() as links:
        for link in fleet.links:
            links.start_soon(link.serve)
        await fleet.wait_until_ready()
        with trio.move_on_after(duration_s + _RECOVERY_LIMIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.run, duration_s)
                await faults.play(plan, fleet)
                await fleet.control_store(refuse=False)
                fleet.heal()
        report.jobs_count = len(callers.records)
        report.accepted_count = sum(
            record.is_accepted for record in callers.records
        )
        report.runs = await fleet.read_runs()
        report.violations = find_violations(report.runs, callers.records)
        links.cancel_scope.cancel()
