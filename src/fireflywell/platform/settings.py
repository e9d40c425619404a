"""Loads the settings file that the platform writes for each process."""

import dataclasses
import datetime
import math
import pathlib
import tomllib
from typing import Any

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import settings as node_settings

SETTINGS_VARIABLE = "FIREFLYWELL_CONFIG"


def load_settings(path: pathlib.Path) -> node_settings.NodeSettings:
    """Loads the platform's settings file; unknown keys are ignored.

    Args:
        path: Path of the TOML file.

    Raises:
        SettingsError: The file can't be read, or a key is missing or of the
            wrong type.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise errors.SettingsError(
            f"settings file {path} can't be read: {error.strerror}; check the "
            f"path in {SETTINGS_VARIABLE} and the file's permissions"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"settings file {path} isn't valid TOML: {error}; correct the file"
        ) from error
    reader = _Reader(document, str(path))
    bounds = reader.section("bounds")
    store = reader.section("platform")
    listen = reader.section("listen_addresses")
    cloud = reader.section("cloud_api", required=False)
    limits = reader.section("limits", required=False)
    return node_settings.NodeSettings(
        name=reader.text("node_name"),
        zone=reader.text("zone"),
        # `front` is the address of the callers' API.
        callers_address=listen.text("front"),
        readiness_address=listen.text("ready_address"),
        # `control` is the address where metrics are served.
        metrics_address=listen.text("control", ""),
        store_address=store.text("address"),
        # `cloud_api` is the API that lists and moves VMs.
        machines_address=cloud.text("address", ""),
        advice_address=reader.text("advice", ""),
        bounds=node_settings.OperatingLimits(
            lease=bounds.milliseconds("lease_duration_ms", 3000),
            # `max_hold_ms` is the longest lease that a worker grants to runs.
            longest_run_lease=bounds.milliseconds("max_hold_ms", 6000),
            stop=bounds.milliseconds("stop_timeout_ms", 900),
            grace=bounds.seconds("grace_period_s", 6),
            status_retention=bounds.seconds("status_s", 120),
            away_notice=bounds.milliseconds("notice_ms", 4500),
            move=bounds.seconds("move_s", 1.5),
            upkeep=bounds.seconds("maintenance_s", 2),
            far_factor=bounds.number("far_factor", 2),
            history=store.seconds("history_retention_s", 20),
        ),
        # The machine has `cpu_share` of a core that is `cores` times as fast.
        cpu_millis=round(
            1000 * limits.number("cpu_share", 1) * limits.number("cores", 1)
        ),
        row_bytes=int(store.number("row_bytes", row_store.DEFAULT_ROW_BYTES)),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Reader:
    """Typed access to one table of the settings file.

    Attributes:
        document: Contents of the table.
        location: Path of the file and name of the table, for error messages.
    """

    document: dict[str, Any]
    location: str

    def section(self, key: str, *, required: bool = True) -> "_Reader":
        value = self.document.get(key)
        if value is None and not required:
            value = {}
        if not isinstance(value, dict):
            raise self._make_error(key, "a table", value)
        return _Reader(value, f"{self.location}: {key}")

    def text(self, key: str, default: str | None = None) -> str:
        value = self.document.get(key, default)
        if not isinstance(value, str):
            raise self._make_error(key, "a text", value)
        return value

    def number(self, key: str, default: float) -> float:
        value = self.document.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._make_error(key, "a number", value)
        if value < 0 or not math.isfinite(value):
            raise self._make_error(
                key, "a finite number that isn't negative", value
            )
        return float(value)

    def seconds(self, key: str, default: float) -> datetime.timedelta:
        return datetime.timedelta(seconds=self.number(key, default))

    def milliseconds(self, key: str, default: float) -> datetime.timedelta:
        return datetime.timedelta(milliseconds=self.number(key, default))

    def _make_error(
        self, key: str, expected: str, value: Any
    ) -> errors.SettingsError:
        return errors.SettingsError(
            f"{self.location}: {key} must be {expected}, found {value!r}; "
            "correct the platform's settings file"
        )
