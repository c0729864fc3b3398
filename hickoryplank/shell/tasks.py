"""Tasks of a process that outlive unexpected errors."""

import logging
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

__all__ = ["TaskSpawner", "keep_running"]

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
            _log_failure("task failed unexpectedly; running it again", name, exc)
        await anyio.sleep(RESTART_DELAY_SECONDS)


class TaskSpawner:
    """Starts tasks in a group, none of which ends the group by an unexpected error.

    :param group: the task group of the process.
    """

    def __init__(self, group: TaskGroup):
        self._group = group

    def start_soon(self, run: Callable[..., Awaitable[None]], *args: object) -> None:
        """Start a task that is run once."""
        self._group.start_soon(_run_once, run, args)

    def start_service(self, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task that is run again after an unexpected error."""
        self._group.start_soon(keep_running, _name_of(run), run)


async def _run_once(
    run: Callable[..., Awaitable[None]], args: tuple[object, ...]
) -> None:
    try:
        await run(*args)
    except Exception as exc:
        _log_failure("task failed unexpectedly", _name_of(run), exc)


def _name_of(run: Callable[..., Awaitable[None]]) -> str:
    return getattr(run, "__qualname__", repr(run))


def _log_failure(message: str, name: str, exc: Exception) -> None:
    logger.error(message, extra={"task": name, "detail": repr(exc)}, exc_info=True)
