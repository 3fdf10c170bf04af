"""Settings of the operators at an entry: the configuration and the evacuated zones.

An entry gets them from the store or from another entry, and sends on what is new to it.
"""

from collections.abc import Callable

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.evacuations import (
    Evacuations,
    decode_evacuation,
    encode_evacuation,
)
from godwitbank._internal.core.runs.events import (
    ConfigurationRead,
    EvacuationRead,
    LogDecision,
    RunAction,
)
from godwitbank._internal.core.runs.links import Link, Links
from godwitbank._internal.core.runs.routes import RouteTable
from godwitbank._internal.models.jobs import Configuration, Evacuation, QueueRules
from godwitbank._internal.models.messages import Message
from godwitbank._internal.models.run_messages import Evacuated, Rules

STORE_SOURCE = "store"
"""Source that is logged for settings that were read from the store."""


class OperatorSettings:
    """Keeps the newest settings, and sends them to other processes.

    :param on_evacuation: called with all evacuated zones, and with those whose state
        changed.
    """

    def __init__(
        self,
        links: Links,
        counts: Counts,
        on_evacuation: Callable[[frozenset[str], frozenset[str]], None],
    ) -> None:
        self.routes = RouteTable()
        self.evacuations = Evacuations()
        self._links = links
        self._counts = counts
        self._on_evacuation = on_evacuation
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event.

        :param emit: receives the actions to carry out.
        """
        self._emit = emit

    def _log_decision(self, event: str, **fields: object) -> None:
        self._emit(LogDecision(event, "", fields))

    def _send(self, stream: int, message: Message) -> None:
        self._emit(Send(stream, message))

    def send_all(self, stream: int) -> None:
        """Send all settings to another entry."""
        # Sent first: a configuration makes the other entry place runs.
        self.send_evacuation(stream)
        self._send_configuration(stream)

    # Configuration

    def handle_configuration(self, event: ConfigurationRead) -> None:
        """Install a configuration that was read from the store."""
        self._install_configuration(event.configuration, STORE_SOURCE)

    def handle_rules(self, link: Link, rules: Rules) -> None:
        """Install the configuration of another entry."""
        queues = tuple(QueueRules(*fields) for fields in rules.queues)
        configuration = Configuration(rules.version, queues, rules.max_body)
        self._install_configuration(configuration, link.hello.process)

    def _install_configuration(self, configuration: Configuration, source: str) -> None:
        replaced_version = self.routes.version
        if not self.routes.install(configuration):
            return
        version = configuration.version
        self._counts.add("configurations_installed")
        # The counter's value is the version itself, as versions only increase.
        self._counts.add("configuration_version", amount=version - replaced_version)
        self._log_decision("configuration", version=version, source=source)
        for link in self._links.list_peers():
            self._send_configuration(link.stream)

    def _send_configuration(self, stream: int) -> None:
        configuration = self.routes.configuration
        if configuration is not None:
            queues = [list(queue) for queue in configuration.queues]
            self._send(
                stream, Rules(configuration.version, queues, configuration.max_body)
            )

    # Evacuated zones

    def handle_evacuation(self, event: EvacuationRead) -> None:
        """Install the evacuated zones that were read from the store."""
        self._install_evacuation(event.evacuation, STORE_SOURCE)

    def handle_evacuated(self, link: Link, message: Evacuated) -> None:
        """Install the evacuated zones of another entry, or send it newer ones."""
        evacuation = decode_evacuation(message)
        if self.evacuations.is_outdated(evacuation):
            self.send_evacuation(link.stream)
            return
        self._install_evacuation(evacuation, link.hello.process)

    def _install_evacuation(self, evacuation: Evacuation, source: str) -> None:
        changed = self.evacuations.install(evacuation)
        if changed is None:
            return
        zones = sorted(evacuation.zones)
        self._log_decision(
            "evacuation", zones=zones, revision=evacuation.revision, source=source
        )
        for link in self._links:
            self.send_evacuation(link.stream)
        self._on_evacuation(evacuation.zones, changed)

    def send_evacuation(self, stream: int) -> None:
        """Send the evacuated zones, if they are known, to an entry or an agent."""
        if self.evacuations.known:
            self._send(stream, encode_evacuation(self.evacuations.newest))
