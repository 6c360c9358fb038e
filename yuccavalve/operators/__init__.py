"""HTTP endpoints for operators."""

from yuccavalve.operators.endpoints import OperatorEndpoints
from yuccavalve.operators.status import status_document

__all__ = ('OperatorEndpoints', 'status_document')
