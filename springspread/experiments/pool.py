"""Runs the days of a plan in worker processes, until a signal stops the run.

A signal sets a flag, which is checked while results are awaited and before each is yielded. A
``KeyboardInterrupt`` may be raised outside the generator and leave it open, with all remaining runs queued.
Each worker has a pipe of its own, so a worker that is ended at any moment leaves no lock held and no
message of another worker incomplete.
"""

from __future__ import annotations

import signal
import tempfile
from collections.abc import Generator, Iterator
from contextlib import contextmanager, suppress
from multiprocessing import Pipe, Process
from multiprocessing.connection import Connection, wait
from pathlib import Path
from types import FrameType

from springspread.experiments.plan import Plan, Run
from springspread.experiments.run import Row, simulate

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
STOP_CHECK_S = 0.1
JOIN_S = 5.0  # for a terminated worker, which is killed after this

Result = tuple[Row, float]


class RunInterruptedError(Exception):
    """A signal stopped the run."""


class WorkerDiedError(Exception):
    """A worker process ended by itself, and with it the run."""


class StopFlag:
    """Whether a signal has asked the run to stop."""

    def __init__(self) -> None:
        self.is_set = False

    def handle(self, signal_number: int, frame: FrameType | None) -> None:
        """Set the flag; a signal handler."""
        self.is_set = True

    def check(self) -> None:
        """Raise ``RunInterruptedError`` if the flag is set."""
        if self.is_set:
            raise RunInterruptedError


@contextmanager
def stop_on_signal() -> Iterator[StopFlag]:
    """Collect SIGINT and SIGTERM in a flag; for the main thread."""
    flag = StopFlag()
    before = {number: signal.signal(number, flag.handle) for number in STOP_SIGNALS}
    try:
        yield flag
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


class Worker:
    """A process that simulates one run at a time. ``index``: the number of its run, or None if idle."""

    def __init__(self, folder: Path) -> None:
        """``folder``: for the files of its runs; raises ``OSError``."""
        self.index: int | None = None
        self.connection, child = Pipe()
        self._process = Process(target=_work, args=(self.connection, child, folder), daemon=True)
        # The child must not begin with the parent's signal handlers.
        before = signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
        try:
            self._process.start()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)
            child.close()

    def start(self, index: int, run: Run) -> None:
        """Begin a run."""
        with suppress(ConnectionError):  # it has died: reported by ``take``
            self.connection.send(run)
        self.index = index

    def take(self) -> Result:
        """The result of its run; raises what the simulation raised, or ``WorkerDiedError``."""
        try:
            result = self.connection.recv()
        except (EOFError, ConnectionResetError):
            self._process.join(JOIN_S)
            raise WorkerDiedError(f"a worker died, exit code {self._process.exitcode}") from None
        self.index = None
        if isinstance(result, Exception):
            raise result
        done: Result = result
        return done

    def end(self) -> None:
        """End the process, whatever it is doing."""
        self._process.terminate()
        self._process.join(JOIN_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()
        self.connection.close()


def run_plan(plan: Plan, processes: int, stop: StopFlag | None = None) -> Generator[Result, None, None]:
    """Simulate the days of a plan in parallel; yields rows in the plan's order.

    Raises ``RunInterruptedError`` once ``stop`` is set, ``WorkerDiedError``, and what a simulation raises.
    Whoever leaves early has to close the generator, which ends the workers.
    """
    workers: list[Worker] = []
    with tempfile.TemporaryDirectory(prefix="springspread-lab-") as folder:
        try:
            for _ in range(processes):
                workers.append(Worker(Path(folder)))
            yield from _ordered_results(workers, list(plan.runs()), stop or StopFlag())
        finally:
            for worker in workers:
                worker.end()


def _ordered_results(workers: list[Worker], runs: list[Run], stop: StopFlag) -> Iterator[Result]:
    remaining = enumerate(runs)
    results: dict[int, Result] = {}
    for index in range(len(runs)):
        while index not in results:
            stop.check()
            for worker in workers:
                if worker.index is None and (following := next(remaining, None)) is not None:
                    worker.start(*following)
            results |= _collect([worker for worker in workers if worker.index is not None])
        stop.check()
        yield results.pop(index)


def _collect(busy: list[Worker]) -> dict[int, Result]:
    """Wait a short time for results; returns them by the index of their run."""
    results: dict[int, Result] = {}
    ready = wait([worker.connection for worker in busy], STOP_CHECK_S)
    for worker in busy:
        if worker.connection in ready and worker.index is not None:
            index = worker.index
            results[index] = worker.take()
    return results


def _work(parent_end: Connection, connection: Connection, folder: Path) -> None:
    """Simulate the runs that are received, until the parent closes the connection or ends."""
    parent_end.close()  # inherited; while it is open here, the parent's end would not be seen
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a terminal sends it to the whole group
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
    tempfile.tempdir = str(folder)  # what a terminated worker leaves behind is removed by the parent
    with suppress(EOFError, OSError):  # the parent has ended
        while True:
            run: Run = connection.recv()
            try:
                result: Result | Exception = simulate(run)
            except Exception as exc:
                result = exc
            connection.send(result)
