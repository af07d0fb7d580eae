"""Tests of background tasks."""

import asyncio

from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.utils import tasks
from fuchsiacroft.utils.tasks import BackgroundTasks


class RepeatedTaskTests(PausedTestCase):
    """A task that takes one step after the other."""

    expects_failures = True

    def run_steps(self, exc: Exception) -> tuple[int, list[dict]]:
        """Run a task whose first two steps fail; return its steps and loop errors."""
        steps, errors = [], []

        async def step() -> None:
            steps.append(exc)
            if len(steps) <= 2:
                raise exc
            await asyncio.sleep(1.0)

        async def run() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))
            background = BackgroundTasks("test")
            background.spawn_repeated(step, "test-steps")
            await asyncio.sleep(5.5)
            await background.cancel()

        self.run_paused(run())
        return len(steps), errors

    def test_a_step_that_fails_ends_the_process(self):
        before = tasks.failed_steps["test-steps"]
        steps, errors = self.run_steps(ValueError("a bad record"))
        self.assertGreater(steps, 5)
        self.assertEqual([], errors)
        self.assertEqual(2, tasks.failed_steps["test-steps"] - before)

    def test_a_broken_invariant_is_taken_for_a_bad_record(self):
        steps, errors = self.run_steps(InvariantError("two leaders"))
        self.assertEqual(1, steps)
        self.assertEqual(tasks.SERVICE_FAILED, errors[0]["message"])
