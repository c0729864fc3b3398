"""View of the configuration objects as they would be after an edit set."""

from collections.abc import Iterator, Mapping

from hickoryplank.core.objects import ConfigObject
from hickoryplank.core.tables import ObjectRow

__all__ = ["OverlaidObjects"]


class OverlaidObjects(Mapping[str, ConfigObject]):
    """Objects of one kind by name, with edits applied without copying the rows.

    :param rows: the rows of the tables.
    :param edited: the new object of each edited name; ``None`` if it is deleted.
    """

    def __init__(
        self,
        rows: Mapping[str, ObjectRow],
        edited: Mapping[str, ConfigObject | None],
    ) -> None:
        self._rows = rows
        self._edited = edited

    def __getitem__(self, name: str) -> ConfigObject:
        if name not in self._edited:
            return self._rows[name].obj
        obj = self._edited[name]
        if obj is None:
            raise KeyError(name)
        return obj

    def __contains__(self, name: object) -> bool:
        if name in self._edited:
            return self._edited[name] is not None
        return name in self._rows

    def __iter__(self) -> Iterator[str]:
        for name in self._rows:
            if name in self:
                yield name
        for name in self._edited:
            if name in self and name not in self._rows:
                yield name

    def __len__(self) -> int:
        return sum(1 for _ in self)
