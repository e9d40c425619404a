"""Settings of the operators' command line."""

import dataclasses
import pathlib

from fireflywell import errors
from fireflywell import settings as settings_lib


@dataclasses.dataclass(frozen=True, slots=True)
class CliSettings:
    """Content of the file given by `--config`.

    Attributes:
        platform_url: Base address of the platform's services.
        trust_file: TOML file with the reviewers who sign the first bundle.
        entries: Base addresses of entries, such as `http://127.0.0.1:8080`.
    """

    platform_url: str = ""
    trust_file: str = ""
    entries: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CliContext:
    """What every command gets.

    Attributes:
        config: The settings file; None if none was given.
        settings: Its content.
        as_json: Whether output is JSON.
    """

    config: pathlib.Path | None
    settings: CliSettings
    as_json: bool

    def require(self, key: str) -> str:
        """Returns a setting that the command needs.

        Raises:
            SettingsError: It isn't set.
        """
        value = str(getattr(self.settings, key))
        if value:
            return value
        place = str(self.config) if self.config else "no settings file"
        raise errors.SettingsError(
            f"{place}: key {key} is missing; add it to the file given by "
            "--config"
        )


def load_context(config: pathlib.Path | None, as_json: bool) -> CliContext:
    """Reads the settings file, if one is given.

    Raises:
        SettingsError: The file can't be used.
    """
    settings = CliSettings()
    if config is not None:
        settings = settings_lib.load_settings(config, CliSettings)
    return CliContext(config, settings, as_json)
