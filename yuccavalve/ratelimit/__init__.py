"""Rate limits that engines name, held by all daemons together."""

from yuccavalve.ratelimit.grantor import PermitGrantor
from yuccavalve.ratelimit.limiter import RateLimiter
from yuccavalve.ratelimit.models import (
    EngineLimit,
    LimitChange,
    Permit,
    PermitDemand,
    PermitGrant,
    PermitGrants,
    backend_id,
    parse_limit,
)
from yuccavalve.ratelimit.table import LimitTable

__all__ = (
    'EngineLimit',
    'LimitChange',
    'LimitTable',
    'Permit',
    'PermitDemand',
    'PermitGrant',
    'PermitGrantor',
    'PermitGrants',
    'RateLimiter',
    'backend_id',
    'parse_limit',
)
