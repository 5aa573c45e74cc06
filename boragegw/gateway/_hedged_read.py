"""Read from one source that can be hedged to further sources."""

import asyncio

from boragegw.gateway import _sources


class HedgedRead:
    """Reads from one or more sources, and returns the first complete result.

    :param read: function from a :class:`~boragegw.gateway.Source` to a coroutine that
        returns a :class:`~boragegw.gateway.ReadResult`.
    """

    def __init__(self, read):
        self.read = read
        self._names = {}
        self._sources = {}
        self._changed = asyncio.Event()
        self._cancelled = False

    @property
    def pending(self):
        """Names of the sources whose reads are in progress."""
        return {name for task, name in self._names.items() if not task.done()}

    @property
    def progress(self):
        """:class:`~boragegw.gateway.Progress` of the most advanced response."""
        progress = [s.progress for task, s in self._sources.items() if not task.done()]
        return max(progress, key=lambda p: p.received, default=_sources.Progress())

    def add_source(self, name, source):
        """Start a read from ``source`` in parallel with those in progress."""
        task = asyncio.ensure_future(self.read(source))
        self._names[task] = name
        self._sources[task] = source
        self._changed.set()

    def cancel(self):
        """Cancel all reads."""
        self._cancelled = True
        self._changed.set()

    async def first_result(self):
        """Return the name of the source and its result, ``None`` if cancelled.

        :raises SourceError: the error of the first source, if all have failed.
        """
        try:
            while not self._cancelled:
                done = [task for task in self._names if task.done()]
                complete = [task for task in done if task.exception() is None]
                if complete:
                    return self._names[complete[0]], complete[0].result()
                if len(done) == len(self._names):
                    raise done[0].exception()
                await self._wait(done)
            return None
        finally:
            for task in self._names:
                task.cancel()
            await asyncio.gather(*self._names, return_exceptions=True)

    async def _wait(self, done):
        self._changed.clear()
        changed = asyncio.ensure_future(self._changed.wait())
        pending_tasks = [task for task in self._names if task not in done]
        try:
            await asyncio.wait(
                (*pending_tasks, changed), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            changed.cancel()
