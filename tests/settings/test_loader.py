"""Test that errors in a settings file name the file and the field."""

import tempfile
import unittest
from pathlib import Path

from yuccavalve.exceptions import SettingsInvalidError
from yuccavalve.results import ResultCode
from yuccavalve.settings import load_settings

_VALID = """
[daemon]
name = "entry-1"
region = "r1"
availability_zone = "z1"
caller_address = "127.0.0.1:7000"
peer_address = "127.0.0.1:7001"

[platform]
table_address = "127.0.0.1:8000"
object_address = "127.0.0.1:8000"
host_list_address = "127.0.0.1:8000"

[access]
operator_key_file = "/etc/operator"
peer_key_file = "/etc/peer"
platform_key_file = "/etc/platform"
"""


class LoaderTest(unittest.TestCase):
    """Each kind of error has its own result code and names the field."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / 'settings.toml'

    def _load_error(self, text: str, code: ResultCode) -> str:
        self.path.write_text(text)
        with self.assertRaises(SettingsInvalidError) as caught:
            load_settings(self.path)
        self.assertIs(caught.exception.code, code)
        self.assertIn(str(self.path), str(caught.exception))
        return str(caught.exception)

    def test_valid_settings(self) -> None:
        self.path.write_text(_VALID)
        self.assertEqual(load_settings(self.path).daemon.name, 'entry-1')

    def test_unknown_key(self) -> None:
        text = self._load_error(
            _VALID + '[stop]\nentry_lifetime_ms = 5\n',
            ResultCode.SETTINGS_KEY_UNKNOWN,
        )
        self.assertIn('stop', text)
        self.assertIn('entry_lifetime_s', text)

    def test_value_of_wrong_type(self) -> None:
        text = self._load_error(
            _VALID + '[limits]\nmax_queued = "many"\n',
            ResultCode.SETTINGS_FIELD_INVALID,
        )
        self.assertIn('limits.max_queued', text)

    def test_negative_number(self) -> None:
        text = self._load_error(
            _VALID + '[limits]\nstream_idle_s = -1\n',
            ResultCode.SETTINGS_FIELD_INVALID,
        )
        self.assertIn('limits.stream_idle_s', text)

    def test_host_name_instead_of_ip_address(self) -> None:
        text = self._load_error(
            _VALID.replace('127.0.0.1:8000', 'store.example:80', 1),
            ResultCode.SETTINGS_ADDRESS_INVALID,
        )
        self.assertIn('platform.table_address', text)

    def test_address_used_twice(self) -> None:
        text = self._load_error(
            _VALID.replace('127.0.0.1:7001', '127.0.0.1:7000'),
            ResultCode.SETTINGS_ADDRESS_OVERLAP,
        )
        self.assertIn('daemon.peer_address', text)

    def test_unspecified_address_needs_an_advertised_one(self) -> None:
        bound = _VALID.replace('127.0.0.1:7001', '0.0.0.0:7001')
        text = self._load_error(bound, ResultCode.SETTINGS_ADDRESS_INVALID)
        self.assertIn('daemon.advertised_peer_address', text)
        head, section, rest = bound.partition('[platform]')
        field = 'advertised_peer_address = "127.0.0.9:7001"\n'
        self.path.write_text(f'{head}{field}{section}{rest}')
        self.assertEqual(
            load_settings(self.path).daemon.advertised_peer_address,
            '127.0.0.9:7001',
        )

    def test_invalid_toml(self) -> None:
        self._load_error('[daemon', ResultCode.SETTINGS_UNREADABLE)

    def test_missing_section(self) -> None:
        text = self._load_error(
            _VALID.partition('[access]')[0],
            ResultCode.SETTINGS_FIELD_INVALID,
        )
        self.assertIn('access', text)
