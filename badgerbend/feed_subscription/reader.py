"""Parses published configurations and decides whether this broker can use them."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.config.published import settings_in_force
from badgerbend.config.settings import Settings
from badgerbend.config.sexpr import SettingsError
from badgerbend.feed.configuration import UnusableConfigurationError
from badgerbend.generations.manager import GenerationManager
from badgerbend.graphql.schema import SchemaError, Subgraph, create_subgraph


@dataclass(frozen=True, slots=True)
class UsableConfiguration:
    """A configuration that this broker can use, and its subgraph."""

    settings: Settings
    graph: Subgraph


class ConfigurationReader:
    """Parses the values of one key of the feed.

    local_settings: the settings from the broker's settings file. A published configuration may omit the settings that
    it cannot change; they are taken from the file.
    """

    def __init__(self, local_settings: Settings, key: str, generations: GenerationManager) -> None:
        self.local_settings = local_settings
        self.key = key
        self.generations = generations

    def read(self, data: bytes) -> UsableConfiguration:
        """Parse a configuration. Raises UnusableConfigurationError, whose text names the line and the field."""
        try:
            settings = settings_in_force(self.local_settings, data.decode(), self.key)
            return UsableConfiguration(settings, self._graph(settings))
        except UnicodeDecodeError as error:
            raise UnusableConfigurationError(f"{self.key}: not UTF-8 at byte {error.start}") from error
        except SettingsError as error:
            raise UnusableConfigurationError(str(error)) from error
        except SchemaError as error:
            raise UnusableConfigurationError(f"{self.key}: schema: {error}") from error

    def _graph(self, settings: Settings) -> Subgraph:
        """Return the current subgraph if it was built from the same fields and entities, else a new one."""
        current = self.generations.current
        if (settings.field, settings.entity) == (current.settings.field, current.settings.entity):
            return current.graph
        return create_subgraph(settings, current.graph.text)
