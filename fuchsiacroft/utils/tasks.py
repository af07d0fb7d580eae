"""Background tasks whose failures are always logged."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine

from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.utils.logs import event

SERVICE_FAILED = "a service failed"
FAILED_STEP_PAUSE_S = 0.5
"""Bounds the log lines of a step that fails each time."""

Step = Callable[[], Awaitable[None]]

failed_steps: Counter[str] = Counter()
"""Failed steps of this process's repeated tasks, by the name of the task."""


class BackgroundTasks:
    """The background tasks of one service, cancelled together."""

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coro: Coroutine, name: str = "") -> asyncio.Task:
        """Start a task; it is referenced until it ends and its failure is logged."""
        task = asyncio.get_running_loop().create_task(coro, name=name or None)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def call(self, function: Callable[..., None], *args: object) -> None:
        """Call a function whose failure is handled like that of a task."""
        try:
            function(*args)
        except Exception as exc:
            self._record_failure(exc)

    def spawn_critical(self, coro: Coroutine, name: str) -> asyncio.Task:
        """Start a task that the process cannot run without.

        Its failure stops the process, so that a supervisor restarts it.
        """
        task = self.spawn(coro, name)
        task.add_done_callback(_stop_process)
        return task

    def spawn_repeated(self, step: Step, name: str) -> asyncio.Task:
        """Start a task that takes one step after the other, as long as it runs.

        A step that fails is logged and counted, and the next one begins after a
        pause, so that one bad record doesn't stop the work on all others. Only an
        `InvariantError` stops the process.
        """
        return self.spawn_critical(self._repeat(step, name), name)

    async def _repeat(self, step: Step, name: str) -> None:
        while True:
            try:
                await step()
            except InvariantError:
                raise
            except Exception as exc:
                failed_steps[name] += 1
                event("error", "step_failed", task=name, error=repr(exc))
                await asyncio.sleep(FAILED_STEP_PAUSE_S)

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    async def cancel(self) -> None:
        """Cancel every task and wait until each has ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            self._record_failure(exc)

    def _record_failure(self, exc: BaseException) -> None:
        event("error", "task_failed", owner=self._owner, error=repr(exc))
        if isinstance(exc, InvariantError):
            _report_failure(exc)


def _stop_process(task: asyncio.Task) -> None:
    """Pass a failure to the loop's exception handler, which stops the process."""
    if task.cancelled() or task.exception() is None:
        return
    _report_failure(task.exception())


def _report_failure(exc: BaseException) -> None:
    context = {"message": SERVICE_FAILED, "exception": exc}
    asyncio.get_running_loop().call_exception_handler(context)
