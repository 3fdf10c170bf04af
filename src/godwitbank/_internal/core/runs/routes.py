"""Which queue a request is for, by host name and longest path prefix."""

from godwitbank._internal.models.jobs import Configuration, QueueRules


class RouteTable:
    """The newest configuration known, indexed for look-ups."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self._by_host: dict[str, list[QueueRules]] = {}
        self._by_name: dict[str, QueueRules] = {}

    @property
    def version(self) -> int:
        """Version in force, or 0 while there is none."""
        return self.configuration.version if self.configuration else 0

    def install(self, configuration: Configuration) -> bool:
        """Put a configuration in force unless it is older than the one held.

        A read may be old and a peer may lag; going back would undo what the
        operators were told is in force.
        """
        if self.configuration and configuration.version <= self.version:
            return False
        self.configuration = configuration
        self._by_name = {queue.name: queue for queue in configuration.queues}
        self._by_host = {}
        for queue in configuration.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.prefix))
        return True

    def find(self, host: str, path: str) -> QueueRules | None:
        """Find the queue with the longest prefix of a path."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def get(self, name: str) -> QueueRules | None:
        """Find a queue by its name."""
        return self._by_name.get(name)

    def list_services(self) -> set[str]:
        """List the services that some queue leads to."""
        return {queue.service for queue in self._by_name.values()}
