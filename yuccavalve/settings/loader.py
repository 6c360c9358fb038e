"""Load and validate settings files.

Each error names the file and the path of the faulty field.
"""

import ipaddress
import tomllib
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, NoReturn

import attrs
import cattrs
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

from yuccavalve.exceptions import SettingsInvalidError
from yuccavalve.results import ResultCode
from yuccavalve.settings.const import MAX_PORT, MIN_PORT, UNIT_SUFFIXES
from yuccavalve.settings.gateway import GatewaySettings
from yuccavalve.settings.models import Settings

__all__ = ('load_gateway_settings', 'load_settings')

_SCALARS = (bool, int, float, str)


def load_settings(path: Path) -> Settings:
    """Return the validated settings of a file.

    Raises
    ------
    SettingsInvalidError
        If the file can't be read or a field is invalid. The message holds the
        file, the path of the field, the value found and what was expected.
    """
    document = _read_document(path)
    settings = _structure(path, document, Settings)
    _check_not_negative(path, settings, ('platform', 'limits', 'stop'))
    _check_addresses(path, settings)
    _check_advertised(path, settings)
    return settings


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Return the validated settings of a gateway daemon.

    Raises
    ------
    SettingsInvalidError
        If the file can't be read or a field is invalid, as for
        ``load_settings``.
    """
    document = _read_document(path)
    settings = _structure(path, document, GatewaySettings)
    _check_not_negative(path, settings, ('store', 'bounds', 'memory'))
    for name, address in attrs.asdict(settings.listen).items():
        if address:
            _check_address(path, f'listen.{name}', address)
    _check_address(path, 'store.address', settings.store.address)
    return settings


def _read_document(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsInvalidError(
            ResultCode.SETTINGS_UNREADABLE,
            f'{path}: {error.strerror}',
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsInvalidError(
            ResultCode.SETTINGS_UNREADABLE,
            f'{path}: invalid TOML: {error}',
        ) from error


def _structure(path: Path, document: dict[str, Any], kind: type) -> Any:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for scalar in _SCALARS:
        converter.register_structure_hook(scalar, _strict_scalar)
    converter.register_structure_hook(Path, _strict_path)
    try:
        return converter.structure(document, kind)
    except (ClassValidationError, IterableValidationError) as error:
        _raise_first_error(path, error)


def _strict_scalar(found: Any, kind: type) -> Any:
    accepted = (int, float) if kind is float else (kind,)
    is_other_bool = isinstance(found, bool) and kind is not bool
    if is_other_bool or not isinstance(found, accepted):
        raise TypeError(f'expected {kind.__name__}, found {found!r}')
    return kind(found)


def _strict_path(found: Any, _: type) -> Path:
    return Path(_strict_scalar(found, str))


def _raise_first_error(path: Path, error: BaseException) -> NoReturn:
    field, cause = next(_leaf_errors(error, ''))
    code = ResultCode.SETTINGS_FIELD_INVALID
    text = str(cause)
    if isinstance(cause, ForbiddenExtraKeysError):
        code = ResultCode.SETTINGS_KEY_UNKNOWN
        text = _describe_extra_keys(cause)
    elif isinstance(cause, KeyError):
        text = f'field {cause} is missing'
    raise SettingsInvalidError(
        code,
        f'{path}: {field or "top level"}: {text}',
    ) from error


def _describe_extra_keys(cause: ForbiddenExtraKeysError) -> str:
    known = [field.name for field in attrs.fields(cause.cl)]
    parts = []
    for key in sorted(cause.extra_fields):
        base_name = key
        for suffix in UNIT_SUFFIXES:
            base_name = base_name.removesuffix(suffix)
        similar = [name for name in known if name.startswith(base_name)]
        parts.append(f'unknown key {key!r}')
        if similar:
            parts.append(f'expected {similar[0]!r} (the suffix is the unit)')
    return ', '.join([*parts, f'known keys: {", ".join(known)}'])


def _leaf_errors(
    error: BaseException,
    prefix: str,
) -> Iterator[tuple[str, BaseException]]:
    if not isinstance(error, BaseExceptionGroup):
        yield prefix, error
        return
    for inner in error.exceptions:
        yield from _leaf_errors(inner, _extend_path(prefix, inner))


def _extend_path(prefix: str, error: BaseException) -> str:
    for note in getattr(error, '__notes__', ()):
        name = getattr(note, 'name', None)
        if name is None:
            name = getattr(note, 'index', None)
        if name is not None:
            return f'{prefix}.{name}'.lstrip('.')
    return prefix


def _check_not_negative(
    path: Path,
    settings: Any,
    sections: Sequence[str],
) -> None:
    for section in sections:
        for name, number in attrs.asdict(getattr(settings, section)).items():
            if isinstance(number, (int, float)) and number < 0:
                raise SettingsInvalidError(
                    ResultCode.SETTINGS_FIELD_INVALID,
                    f'{path}: {section}.{name}: found {number}, '
                    'expected zero or more',
                )


def _check_addresses(path: Path, settings: Settings) -> None:
    field_by_address: dict[str, str] = {}
    for field, address in _address_fields(settings):
        _check_address(path, field, address)
        if field.startswith('daemon.') and not address.endswith(':0'):
            other_field = field_by_address.setdefault(address, field)
            if other_field != field:
                raise SettingsInvalidError(
                    ResultCode.SETTINGS_ADDRESS_OVERLAP,
                    f'{path}: {field}: {address} is already used by '
                    f'{other_field}, expected a different address',
                )


def _check_advertised(path: Path, settings: Settings) -> None:
    """Reject addresses that other processes can't connect to.

    These are an unspecified bound address without an advertised one, and an
    advertised address that is unspecified or has port 0.
    """
    daemon = settings.daemon
    for name in ('caller_address', 'peer_address'):
        field = f'daemon.advertised_{name}'
        advertised = getattr(daemon, f'advertised_{name}')
        if advertised:
            _check_address(path, field, advertised)
        contact_address = advertised or getattr(daemon, name)
        if _is_unspecified(contact_address) or advertised.endswith(':0'):
            raise _address_error(path, field, advertised)


def _is_unspecified(address: str) -> bool:
    host = address.rpartition(':')[0].strip('[]')
    return ipaddress.ip_address(host).is_unspecified


def _address_fields(settings: Settings) -> Iterator[tuple[str, str]]:
    yield 'daemon.caller_address', settings.daemon.caller_address
    yield 'daemon.peer_address', settings.daemon.peer_address
    for index, seed in enumerate(settings.daemon.peer_seeds):
        yield f'daemon.peer_seeds.{index}', seed
    yield 'platform.table_address', settings.platform.table_address
    yield 'platform.object_address', settings.platform.object_address
    yield 'platform.host_list_address', settings.platform.host_list_address


def _check_address(path: Path, field: str, address: str) -> None:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        in_range = MIN_PORT <= int(port) <= MAX_PORT
    except ValueError as error:
        raise _address_error(path, field, address) from error
    if not in_range:
        raise _address_error(path, field, address)


def _address_error(
    path: Path,
    field: str,
    address: str,
) -> SettingsInvalidError:
    return SettingsInvalidError(
        ResultCode.SETTINGS_ADDRESS_INVALID,
        f'{path}: {field}: found {address!r}, expected an IP address and '
        'a port such as 127.0.0.1:7000',
    )
