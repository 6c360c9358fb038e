"""The cluster configuration: data model, edits, storage and adoption."""

from yuccavalve.configuration.adoption import AdoptionState, Evidence
from yuccavalve.configuration.codec import decode_document, encode_document
from yuccavalve.configuration.commit import ConfigurationStore
from yuccavalve.configuration.models import (
    Configuration,
    Document,
    Electorate,
    Group,
    GroupShare,
    Preset,
    Service,
    Voter,
    Workspace,
)

__all__ = (
    'AdoptionState',
    'Configuration',
    'ConfigurationStore',
    'Document',
    'Electorate',
    'Evidence',
    'Group',
    'GroupShare',
    'Preset',
    'Service',
    'Voter',
    'Workspace',
    'decode_document',
    'encode_document',
)
