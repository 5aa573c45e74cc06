"""Sets of background tasks that are referenced, logged on failure and cancelled."""

import asyncio
import logging

logger = logging.getLogger(__name__)


class TaskSet:
    """Background tasks of one owner.

    The set references the tasks, since the event loop keeps only weak references.
    """

    def __init__(self):
        self._tasks = set()

    def __len__(self):
        return len(self._tasks)

    def start(self, coroutine, name):
        """Run ``coroutine`` as a task and return the task."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "background task failed",
                exc_info=task.exception(),
                extra={"task": task.get_name()},
            )

    async def stop(self):
        """Cancel all tasks and wait until they have finished."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def drain(self):
        """Wait until all tasks have finished, without cancelling them."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))
