"""Exception tree of the package.

Each message says what happened, to which object, and what the reader can do.
"""


class FireflywellError(Exception):
    """Base of all errors raised by this package."""


class SettingsError(FireflywellError):
    """A settings file can't be used."""


class BundleError(FireflywellError):
    """A bundle can't be used."""


class BundleSchemaError(BundleError):
    """A bundle doesn't match the schema."""


class BundleSignatureError(BundleError):
    """A bundle lacks enough valid signatures of its reviewers."""


class BundleVersionConflictError(BundleError):
    """Another bundle was accepted first."""


class PlatformError(FireflywellError):
    """A call to the platform failed."""


class PlatformUnavailableError(PlatformError):
    """The platform didn't take the call; nothing was changed."""


class AnswerLostError(PlatformError):
    """The call was sent and its answer didn't arrive; it may have run."""


class AnswerTooLargeError(PlatformError):
    """The answer is larger than the caller of the platform accepts."""


class PlatformRejectedError(PlatformError):
    """The platform answered that the call is invalid."""


class OutcomeUnknownError(FireflywellError):
    """A change may or may not have been applied, and reading can't tell."""


class CorruptRowError(FireflywellError):
    """A row of the store doesn't hold what its table is for."""


class HistoryLostError(FireflywellError):
    """The store no longer has the changes that a follower asked for."""


class BacklogTooLargeError(FireflywellError):
    """The changes that a follower asked for are larger than it accepts."""


class TenureLostError(FireflywellError):
    """Another process owns the service now."""


class MalformedRequestError(FireflywellError):
    """A caller's request can't be understood."""


class ConflictError(FireflywellError):
    """A compare-and-set found another version than expected."""


class NotFoundError(FireflywellError):
    """An object that a command names doesn't exist."""


class JobRefusedError(FireflywellError):
    """A job can never run, so it isn't accepted."""


class LeaseLostError(FireflywellError):
    """The lease has lapsed or belongs to another holder."""


class InvalidKeyError(FireflywellError):
    """An idempotency key can't be used."""


class PeerProtocolError(FireflywellError):
    """A peer sent a frame or message that isn't valid."""


class PeerAuthenticationError(PeerProtocolError):
    """A peer didn't prove that it knows the cluster key."""


class PeerUnreachableError(FireflywellError):
    """A message could not be sent to a peer; the peer didn't receive it."""


class ChildFailedError(FireflywellError):
    """A supervised child failed and its policy stops the process."""
