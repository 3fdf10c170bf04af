"""Routing of requests to queues by host name and longest path prefix."""

from godwitbank._internal.models.jobs import Configuration, QueueRules


class RouteTable:
    """The newest known configuration, indexed by host and by queue name."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self._by_host: dict[str, list[QueueRules]] = {}
        self._by_name: dict[str, QueueRules] = {}

    @property
    def version(self) -> int:
        """Version of the installed configuration, or 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def install(self, configuration: Configuration) -> bool:
        """Install a configuration unless it is not newer than the installed one.

        The store may return an old version and a peer may lag behind. Reverting to an
        older version would undo a change that operators were told is in force.

        :return: whether the configuration was installed.
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
        """Return the queue whose prefix is the longest that matches a path."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def get(self, name: str) -> QueueRules | None:
        """Return the queue with a name, if there is one."""
        return self._by_name.get(name)

    def list_all(self) -> list[QueueRules]:
        """Return all queues, in the order of the configuration."""
        return list(self._by_name.values())

    def list_services(self) -> set[str]:
        """Return the services of all queues."""
        return {queue.service for queue in self._by_name.values()}
