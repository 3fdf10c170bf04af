"""Resources that tasks need and endpoints have, as a vector."""

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of each resource.

    :param cpu: thousandths of a core.
    :param memory: megabytes.
    :param gpu: whole accelerators.

    >>> Resources(1600, 64, 0) + Resources(400, 0, 0)
    Resources(cpu=2000, memory=64, gpu=0)
    """

    cpu: int = 0
    memory: int = 0
    gpu: int = 0

    def __add__(self, other: "Resources") -> "Resources":  # type: ignore[override]
        return Resources(
            self.cpu + other.cpu, self.memory + other.memory, self.gpu + other.gpu
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu - other.cpu, self.memory - other.memory, self.gpu - other.gpu
        )

    def fits(self, available: "Resources") -> bool:
        """Return whether this amount fits into ``available``.

        >>> Resources(1, 1, 0).fits(Resources(1, 2, 0))
        True
        """
        return (
            self.cpu <= available.cpu
            and self.memory <= available.memory
            and self.gpu <= available.gpu
        )
