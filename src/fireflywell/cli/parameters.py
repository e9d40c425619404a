"""Types of values on the command line."""

import datetime
import math
import re
from typing import Any

import click

# The name is part of row keys and of the platform's paths.
_JOB_ID = re.compile(r"[a-z0-9-]{1,63}")


class Amount(click.FloatRange):
    """A finite number; FloatRange alone lets NaN and infinity pass."""

    __slots__ = ()

    def convert(self, value: Any, param: Any, ctx: Any) -> Any:
        """Returns the value that a text on the command line stands for."""
        number = super().convert(value, param, ctx)
        if not math.isfinite(number):
            self.fail(f"{value} isn't a finite number.", param, ctx)
        return number


class JobId(click.ParamType[str]):
    """Name of a job."""

    __slots__ = ()

    name = "job_id"

    def convert(self, value: Any, param: Any, ctx: Any) -> Any:
        """Returns the value that a text on the command line stands for."""
        if not _JOB_ID.fullmatch(str(value)):
            self.fail(
                f"{value!r} isn't 1 to 63 of a-z, 0-9 and '-'.", param, ctx
            )
        return str(value)


class Date(click.ParamType[datetime.datetime]):
    """Date and time with a time zone."""

    __slots__ = ()

    name = "date"

    def convert(self, value: Any, param: Any, ctx: Any) -> Any:
        """Returns the value that a text on the command line stands for."""
        try:
            date = datetime.datetime.fromisoformat(str(value))
        except ValueError:
            self.fail(f"{value!r} isn't a date in ISO form.", param, ctx)
        if date.tzinfo is None:
            self.fail(f"{value!r} has no time zone; add Z.", param, ctx)
        return date
