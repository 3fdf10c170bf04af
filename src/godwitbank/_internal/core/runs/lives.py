"""Lives of endpoints, which may start again under the same id."""

from typing import NamedTuple


class EndpointLife(NamedTuple):
    """One life of an endpoint, from its start to its end.

    :param instance: id of the endpoint.
    :param born: Unix time of its start in milliseconds; 0 if it is unknown.
    """

    instance: str
    born: int

    def may_be(self, other: "EndpointLife") -> bool:
        """Return whether both may be the same life, as far as is known."""
        same_start = self.born == other.born or 0 in (self.born, other.born)
        return self.instance == other.instance and same_start

    def precedes(self, other: "EndpointLife") -> bool:
        """Return whether this is known to be an earlier life of the same endpoint."""
        return self.instance == other.instance and 0 < self.born < other.born
