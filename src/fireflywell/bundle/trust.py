"""The trust file: reviewers whose signatures count before any bundle."""

import dataclasses
import pathlib

from fireflywell import errors
from fireflywell import settings as settings_lib
from fireflywell.bundle import checks
from fireflywell.bundle import model
from fireflywell.bundle import signatures


@dataclasses.dataclass(frozen=True, slots=True)
class TrustFile:
    """Content of the trust file.

    Attributes:
        threshold: Signatures needed.
        reviewers: Who signs the version after `after_version`.
        after_version: 0 for the first bundle. Operators raise it, with the
            reviewers of that version, after a key was compromised.
    """

    threshold: int
    reviewers: tuple[model.Reviewer, ...]
    after_version: int = 0


def load_trust(path: pathlib.Path) -> signatures.TrustAnchor:
    """Reads the trust file.

    Raises:
        SettingsError: The file can't be used; the message names the key.
    """
    trust = settings_lib.load_settings(path, TrustFile)
    signing = model.Signing(trust.threshold, trust.reviewers)
    problems = [
        f"{path}: key {item.key.removeprefix('signing.')}: {item.message}"
        for item in checks.find_signing_problems(signing)
    ]
    if trust.after_version < 0:
        problems.append(f"{path}: key after_version: use 0 or more")
    if problems:
        raise errors.SettingsError("\n".join(problems))
    return signatures.TrustAnchor(trust.after_version, signing)
