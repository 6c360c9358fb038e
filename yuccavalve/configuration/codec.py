"""Encode configurations as JSON, decode and validate them."""

import ipaddress
import json
import re
from typing import Any, TypeVar

import cattrs
from cattrs.errors import BaseValidationError
from cattrs.v import transform_error

from yuccavalve.configuration.const import (
    KIND_MODEL,
    KIND_PLAIN,
    NAME_PATTERN,
)
from yuccavalve.configuration.models import (
    Configuration,
    Document,
    Group,
    GroupShare,
    Preset,
    Service,
)
from yuccavalve.exceptions import ConfigurationInvalidError

__all__ = (
    'check_document',
    'decode_configuration',
    'decode_document',
    'encode_configuration',
    'encode_document',
    'structure_entry',
)

_Entry = TypeVar('_Entry')
_STRUCTURE_ERRORS = (BaseValidationError, TypeError, ValueError, KeyError)
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def encode_document(document: Document) -> dict[str, Any]:
    """Return a document as JSON-compatible types."""
    return _CONVERTER.unstructure(document)


def decode_document(plain: dict[str, Any]) -> Document:
    """Return a validated document.

    Raises
    ------
    ConfigurationInvalidError
        When a field is unknown, missing or invalid.
    """
    document = structure_entry(plain, Document)
    check_document(document)
    return document


def encode_configuration(configuration: Configuration) -> bytes:
    """Return a configuration version as JSON, for peers and stored rows."""
    plain = _CONVERTER.unstructure(configuration)
    return json.dumps(plain, separators=(',', ':')).encode()


def decode_configuration(encoded: bytes | str) -> Configuration:
    """Return the configuration from the output of ``encode_configuration``."""
    return structure_entry(json.loads(encoded), Configuration)


def structure_entry(plain: Any, kind: type[_Entry]) -> _Entry:
    """Return a typed entry from JSON-compatible types.

    Raises
    ------
    ConfigurationInvalidError
        When a field is unknown, missing or of a wrong type.
    """
    try:
        return _CONVERTER.structure(plain, kind)
    except _STRUCTURE_ERRORS as error:
        raise ConfigurationInvalidError(_describe(error)) from error


def check_document(document: Document) -> None:
    """Validate names, references between entries and number ranges.

    Raises
    ------
    ConfigurationInvalidError
        With the path of the first invalid field.
    """
    sections = ('groups', 'services', 'presets', 'workspaces')
    for section in sections:
        _check_names(section, getattr(document, section))
    for group in document.groups:
        _check_group(group)
    for service in document.services:
        _check_service(document, service)
    _check_presets(document)


def _describe(error: Exception) -> str:
    if isinstance(error, BaseValidationError):
        return '; '.join(transform_error(error))
    return repr(error)


def _check_names(section: str, entries: tuple[Any, ...]) -> None:
    seen = set()
    for entry in entries:
        if not re.match(NAME_PATTERN, entry.name):
            raise ConfigurationInvalidError(
                f'{section}.{entry.name}: expected a name of lower-case '
                'letters, digits and hyphens',
            )
        if entry.name in seen:
            raise ConfigurationInvalidError(
                f'{section}.{entry.name}: the name stands twice',
            )
        seen.add(entry.name)


def _check_group(group: Group) -> None:
    for field in ('hosts_per_replica', 'slots'):
        if getattr(group, field) < 1:
            raise ConfigurationInvalidError(
                f'groups.{group.name}.{field}: expected 1 or more',
            )
    for field in ('downtime_weight', 'stranded_weight'):
        if getattr(group, field) < 0:
            raise ConfigurationInvalidError(
                f'groups.{group.name}.{field}: expected zero or more',
            )


def _check_service(document: Document, service: Service) -> None:
    path = f'services.{service.name}'
    if service.kind not in {KIND_MODEL, KIND_PLAIN}:
        raise ConfigurationInvalidError(
            f'{path}.kind: found {service.kind!r}, expected model or plain',
        )
    if service.kind == KIND_MODEL and document.group(service.group) is None:
        raise ConfigurationInvalidError(
            f'{path}.group: no group {service.group!r}',
        )
    if service.kind == KIND_PLAIN and not service.addresses:
        raise ConfigurationInvalidError(
            f'{path}.addresses: expected one address or more',
        )
    _check_objective(path, service)
    for address in service.addresses:
        _check_backend_address(path, address)


def _check_objective(path: str, service: Service) -> None:
    if not 0 < service.good_share < 1:
        raise ConfigurationInvalidError(
            f'{path}.good_share: expected more than 0 and less than 1',
        )


def _check_backend_address(path: str, address: str) -> None:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        int(port)
    except ValueError as error:
        raise ConfigurationInvalidError(
            f'{path}.addresses: found {address!r}, expected an IP number '
            'and a port',
        ) from error


def _check_share(
    document: Document,
    preset: Preset,
    share: GroupShare,
) -> None:
    path = f'presets.{preset.name}.shares.{share.group}'
    if document.group(share.group) is None:
        raise ConfigurationInvalidError(f'{path}: no such group')
    if share.replicas < 0:
        raise ConfigurationInvalidError(
            f'{path}.replicas: expected zero or more',
        )


def _check_presets(document: Document) -> None:
    for preset in document.presets:
        for share in preset.shares:
            _check_share(document, preset, share)
    in_force = document.preset_in_force
    if in_force and document.preset(in_force) is None:
        raise ConfigurationInvalidError(
            f'preset_in_force: no preset {in_force!r}',
        )
