"""Background tasks that are kept alive, logged when they fail, and ended together."""

import asyncio
import logging

logger = logging.getLogger(__name__)


class TaskSet:
    """Tasks of one owner."""

    def __init__(self):
        self._tasks = set()

    def __len__(self):
        return len(self._tasks)

    def start(self, coroutine, name):
        """Run ``coroutine`` as a task and return the task."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "background task failed",
                exc_info=task.exception(),
                extra={"task": task.get_name()},
            )

    async def stop(self):
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def drain(self):
        """Wait until all tasks have ended by themselves."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))
