"""One question to a source, and to a second one beside it if the first is slow."""

import asyncio

from boragegw.gateway import _sources


class HedgedRead:
    """Waits for the first whole answer.

    :param ask: function from a :class:`~boragegw.gateway.Source` to a coroutine that
        returns a :class:`~boragegw.gateway.ReadResult`.
    """

    def __init__(self, ask):
        self.ask = ask
        self._names = {}
        self._sources = {}
        self._moved = asyncio.Event()
        self._dropped = False

    @property
    def asked(self):
        """Names of the sources that are being asked."""
        return {name for task, name in self._names.items() if not task.done()}

    @property
    def progress(self):
        """:class:`~boragegw.gateway.Progress` of the answer that has come furthest."""
        found = [s.progress for task, s in self._sources.items() if not task.done()]
        return max(found, key=lambda p: p.received, default=_sources.Progress())

    def put_to(self, name, source):
        """Ask ``source`` besides those that have been asked."""
        task = asyncio.ensure_future(self.ask(source))
        self._names[task] = name
        self._sources[task] = source
        self._moved.set()

    def drop(self):
        """Wait no longer."""
        self._dropped = True
        self._moved.set()

    async def answer(self):
        """Return the name of the source and its reading; ``None`` if it was dropped.

        :raises SourceError: the first source's, if all have failed.
        """
        try:
            while not self._dropped:
                done = [task for task in self._names if task.done()]
                whole = [task for task in done if task.exception() is None]
                if whole:
                    return self._names[whole[0]], whole[0].result()
                if len(done) == len(self._names):
                    raise done[0].exception()
                await self._wait(done)
            return None
        finally:
            for task in self._names:
                task.cancel()
            await asyncio.gather(*self._names, return_exceptions=True)

    async def _wait(self, done):
        self._moved.clear()
        moved = asyncio.ensure_future(self._moved.wait())
        open_tasks = [task for task in self._names if task not in done]
        try:
            await asyncio.wait(
                (*open_tasks, moved), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            moved.cancel()
