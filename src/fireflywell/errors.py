"""Exception tree of the package.

Each message says what happened, to which object, and what the reader can do.
"""


class FireflywellError(Exception):
    """Base of all errors raised by this package."""


class SettingsError(FireflywellError):
    """Settings can't be read, are invalid or can't be applied."""


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
    """The platform didn't execute the call; nothing was changed."""


class AnswerLostError(PlatformError):
    """The call was sent without a usable answer; it may have been executed."""


class StaleReadError(PlatformError):
    """A read shows the store as it was before the moment that it must show."""


class AnswerTooLargeError(PlatformError):
    """The answer is larger than the limit that the caller set."""


class PlatformRejectedError(PlatformError):
    """The platform rejected the call as invalid."""


class OutcomeUnknownError(FireflywellError):
    """A change may have been applied, and a read can't determine whether."""


class CorruptRowError(FireflywellError):
    """A row of the store holds a value that isn't valid for its table."""


class HistoryLostError(FireflywellError):
    """The store no longer holds the changes that a follower requested."""


class BacklogTooLargeError(FireflywellError):
    """The changes that a follower requested exceed its size limit."""


class TenureLostError(FireflywellError):
    """Another process owns the service now."""


class MalformedRequestError(FireflywellError):
    """A caller's request is malformed."""


class ConflictError(FireflywellError):
    """A compare-and-set found another version than expected."""


class NotFoundError(FireflywellError):
    """An object that a command names doesn't exist."""


class JobCancelledError(FireflywellError):
    """A job was cancelled before its submission was stored."""


class JobRefusedError(FireflywellError):
    """A job was rejected because it could never run."""


class LeaseLostError(FireflywellError):
    """The lease has expired or belongs to another holder."""


class InvalidKeyError(FireflywellError):
    """An idempotency key is invalid."""


class PeerProtocolError(FireflywellError):
    """A peer sent an invalid frame or message."""


class PeerAuthenticationError(PeerProtocolError):
    """A peer failed to prove that it holds the cluster key."""


class PeerUnreachableError(FireflywellError):
    """A message could not be sent to a peer; the peer didn't receive it."""


class ChildFailedError(FireflywellError):
    """A supervised child failed and its policy stops the process."""
