"""Tasks of an entry that go on after an unexpected error."""

import logging
from collections.abc import Awaitable, Callable

import anyio

__all__ = ["keep_running"]

logger = logging.getLogger(__name__)

#: Wait before a task that failed is run again, in seconds. An error that repeats itself
#: neither fills the log nor takes the processor from the other tasks.
RESTART_DELAY_SECONDS = 0.5


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; run it again after an unexpected error.

    Callers, peers and the platform can send what no task expects. That must not end
    the process, which would end its other calls and, with the coordinator, all work in
    progress.

    :param name: name of the task for the logs.
    """
    while True:
        try:
            return await run()
        except Exception as exc:
            logger.error(
                "task failed unexpectedly; running it again",
                extra={"task": name, "detail": repr(exc)},
                exc_info=True,
            )
        await anyio.sleep(RESTART_DELAY_SECONDS)
