"""Exceptions raised by the packages."""

from typing import Any

from yuccavalve.results import ResultCode

__all__ = (
    'BackendLostError',
    'BackendNotReachedError',
    'BackendResetError',
    'ConfigurationInvalidError',
    'EngineRefusedError',
    'EngineNotListeningError',
    'EngineResetError',
    'EngineUnreachableError',
    'EraEndedError',
    'FeedHistoryLostError',
    'PermitExpiredError',
    'RequestRefusedError',
    'RevisionConflictError',
    'SettingsInvalidError',
    'StoreUnavailableError',
    'TransactionConflictError',
    'YuccavalveError',
)


class YuccavalveError(Exception):
    """Base of every error that the project raises."""


class StoreUnavailableError(YuccavalveError):
    """The table service or object store gave no valid answer.

    Attributes
    ----------
    may_have_applied
        Whether a write was sent and its outcome is unknown.
    """

    def __init__(self, reason: str, *, may_have_applied: bool = False) -> None:
        """Store the reason and whether a write may have been applied."""
        super().__init__(reason)
        self.may_have_applied = may_have_applied


class FeedHistoryLostError(YuccavalveError):
    """A feed's history does not reach back to the requested version."""


class EraEndedError(FeedHistoryLostError):
    """The table service has returned from a copy since the version."""


class BackendNotReachedError(YuccavalveError):
    """No connection was made, so no byte of the request was sent."""


class PermitExpiredError(BackendNotReachedError):
    """The permit ran out before the request was sent."""


class BackendLostError(YuccavalveError):
    """The exchange failed after the request may have been sent."""


class BackendResetError(BackendLostError):
    """The server reset an established connection."""


class TransactionConflictError(YuccavalveError):
    """A condition of a transaction did not hold.

    Attributes
    ----------
    row_keys
        The keys whose conditions failed.
    """

    def __init__(self, row_keys: tuple[str, ...]) -> None:
        """Store the keys whose conditions failed."""
        super().__init__(', '.join(row_keys))
        self.row_keys = row_keys


class ConfigurationInvalidError(YuccavalveError):
    """A configuration breaks a rule; the text names the field's path."""


class RevisionConflictError(YuccavalveError):
    """Another edit was committed first."""

    def __init__(self, revision: int, author: str, summary: str) -> None:
        """Store the revision that was committed first."""
        super().__init__(
            f'revision {revision} by {author} ({summary}) came first',
        )
        self.revision = revision
        self.author = author
        self.summary = summary


class SettingsInvalidError(YuccavalveError):
    """A settings file can't be used; the text names file and field."""

    def __init__(self, code: ResultCode, text: str) -> None:
        """Store the result code and the text."""
        super().__init__(text)
        self.code = code


class EngineResetError(YuccavalveError):
    """An engine reset an established connection: it runs, but did not answer.

    Engines do so beyond their number of connections.
    """


class EngineNotListeningError(YuccavalveError):
    """An engine refused a connection: nothing listens at its address."""


class EngineUnreachableError(YuccavalveError):
    """An engine gave no valid answer; the outcome is unknown."""


class EngineRefusedError(YuccavalveError):
    """An engine refused an order or a request and did not start it."""


class StalledAttemptResumedError(YuccavalveError):
    """A stalled engine goes on before another one has taken its request.

    Attributes
    ----------
    attempt
        The attempt to continue.
    """

    def __init__(self, attempt: Any) -> None:
        """Store the attempt."""
        super().__init__('a stalled engine goes on')
        self.attempt = attempt


class RequestRefusedError(YuccavalveError):
    """A request is not processed further and ends with a result code.

    Attributes
    ----------
    code
        The result code of the answer.
    retry_after_s
        Time in seconds after which the caller may retry, or None.
    """

    def __init__(
        self,
        code: ResultCode,
        text: str = '',
        retry_after_s: float | None = None,
    ) -> None:
        """Store the parts of the final answer."""
        super().__init__(text or code.name)
        self.code = code
        self.retry_after_s = retry_after_s
