"""Numbered result codes and tagged outcomes."""

import dataclasses
import enum
from types import MappingProxyType

__all__ = (
    'Answered',
    'MayHaveRun',
    'NotRun',
    'Outcome',
    'Refused',
    'ResultCode',
    'http_status',
    'outcome_from_code',
)


class ResultCode(enum.IntEnum):
    """Every result code; the thousands digit gives the family.

    1xxx answered, 2xxx not run, 3xxx may have run, 4xxx request refused as
    invalid or in conflict, 5xxx failures of the platform or of yuccavalve.
    """

    ANSWERED = 1000
    ANSWERED_FROM_LEDGER = 1001

    QUEUE_FULL = 2000
    DEADLINE_UNREACHABLE = 2001
    NO_REPLICA = 2002
    MEMBER_LEAVING = 2003
    CONFIGURATION_UNCONFIRMED = 2004
    LEDGER_UNAVAILABLE = 2005
    WORKSPACE_LIMIT = 2006
    RETRY_BUDGET_SPENT = 2007
    BACKEND_REFUSED = 2008
    BACKEND_UNREACHABLE = 2009
    REQUEST_QUARANTINED = 2010
    ENGINES_LIMITED = 2011
    ZONE_EVACUATED = 2012
    RELAY_FULL = 2013
    ENGINES_UNREACHABLE = 2014
    ADMISSION_QUEUE_FULL = 2015
    RECEIVED_FULL = 2016

    STREAM_BROKEN = 3000
    STREAM_SILENT = 3001
    REPLICA_LOST = 3002
    EARLIER_ATTEMPT_UNKNOWN = 3003
    STOP_BOUND_REACHED = 3004

    BODY_INVALID = 4000
    BODY_TOO_LARGE = 4001
    UNAUTHENTICATED = 4002
    SERVICE_UNKNOWN = 4003
    DUPLICATE_RUNNING = 4004
    KEY_CONFLICT = 4005
    HEADER_INVALID = 4006
    KEY_REQUIRED = 4007
    CALLER_LEFT = 4008
    PATH_UNKNOWN = 4009

    REVISION_CONFLICT = 4100
    CONFIGURATION_INVALID = 4101
    CHANGE_UNKNOWN = 4102
    CHANGE_NOT_ACCEPTED = 4103
    NAME_UNKNOWN = 4104

    SETTINGS_UNREADABLE = 4200
    SETTINGS_KEY_UNKNOWN = 4201
    SETTINGS_FIELD_INVALID = 4202
    SETTINGS_ADDRESS_INVALID = 4203
    SETTINGS_ADDRESS_OVERLAP = 4204

    STORE_UNAVAILABLE = 5000
    NO_DAEMON_REACHED = 5001
    INTERNAL = 5999


_STATUS_BY_CODE = MappingProxyType(
    {
        ResultCode.ANSWERED: 200,
        ResultCode.ANSWERED_FROM_LEDGER: 200,
        ResultCode.QUEUE_FULL: 429,
        ResultCode.WORKSPACE_LIMIT: 429,
        ResultCode.ADMISSION_QUEUE_FULL: 429,
        ResultCode.STREAM_BROKEN: 502,
        ResultCode.STREAM_SILENT: 504,
        ResultCode.REPLICA_LOST: 502,
        ResultCode.EARLIER_ATTEMPT_UNKNOWN: 409,
        ResultCode.STOP_BOUND_REACHED: 502,
        ResultCode.BODY_TOO_LARGE: 413,
        ResultCode.UNAUTHENTICATED: 401,
        ResultCode.SERVICE_UNKNOWN: 404,
        ResultCode.PATH_UNKNOWN: 404,
        ResultCode.NAME_UNKNOWN: 404,
        ResultCode.DUPLICATE_RUNNING: 409,
        ResultCode.REVISION_CONFLICT: 409,
        ResultCode.KEY_CONFLICT: 422,
        ResultCode.CONFIGURATION_INVALID: 422,
        ResultCode.CHANGE_UNKNOWN: 504,
        ResultCode.CHANGE_NOT_ACCEPTED: 202,
        ResultCode.CALLER_LEFT: 499,
        ResultCode.INTERNAL: 500,
    }
)
_UNAVAILABLE = 503
_BAD_REQUEST = 400
_CODES_PER_FAMILY = 1000
_FAMILY_NOT_RUN = 2
_FAMILY_MAY_HAVE_RUN = 3


def http_status(code: ResultCode) -> int:
    """Return the HTTP status of a result code."""
    fallback = _UNAVAILABLE
    if code // _CODES_PER_FAMILY == 4:
        fallback = _BAD_REQUEST
    return _STATUS_BY_CODE.get(code, fallback)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer was sent to the caller."""

    code: ResultCode = ResultCode.ANSWERED


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No backend server has started the request."""

    code: ResultCode
    retry_after_s: float | None = None
    text: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """A backend server may have run the request, wholly or in part."""

    code: ResultCode
    retry_after_s: float | None = None
    text: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request itself can't be served."""

    code: ResultCode
    retry_after_s: float | None = None
    text: str = ''


Outcome = Answered | NotRun | MayHaveRun | Refused


def outcome_from_code(
    code: ResultCode,
    text: str = '',
    retry_after_s: float | None = None,
) -> Outcome:
    """Return an outcome of the type for a result code's family."""
    family = code // _CODES_PER_FAMILY
    if family == 1:
        return Answered(code)
    if family == _FAMILY_NOT_RUN:
        return NotRun(code, retry_after_s, text)
    if family == _FAMILY_MAY_HAVE_RUN:
        return MayHaveRun(code, retry_after_s, text)
    return Refused(code, retry_after_s, text)
