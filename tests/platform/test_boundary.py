"""Platform names stay in the adapter; deployment files match the project."""

import re
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

from tests.platform import builders
from yuccavalve.settings import load_gateway_settings

_ROOT = Path(__file__).resolve().parents[2]
_PLATFORM_NAMES = (
    '/-/',
    'api_keys',
    'at-server',
    'close_mode',
    'cold_left',
    'deadline-ms',
    'expect-instance',
    'gap_target_ms',
    'instance-id',
    'is_staged',
    'last-event-id',
    'max_conns',
    'not-executed',
    'prompt-prefix',
    'read_per_s',
    'response-signature',
    'rows-feed',
    'rows-get',
    'rows-tx',
    'slo_ms',
    'token-counts',
    'x-api-key',
)
_BUILD_ONLY = frozenset(('setuptools',))


def _pins(path: Path) -> dict[str, str]:
    lines = path.read_text().split()
    return dict(line.lower().split('==') for line in lines)


class BoundaryTest(unittest.TestCase):
    """Where platform names may appear, and validity of the deployment files."""

    def test_platform_names_appear_in_the_adapter_only(self) -> None:
        for path in sorted((_ROOT / 'yuccavalve').rglob('*.py')):
            text = path.read_text().lower()
            for name in _PLATFORM_NAMES:
                with self.subTest(path=path.name, name=name):
                    self.assertNotIn(name, text)

    def test_folder_does_not_shadow_the_standard_library(self) -> None:
        code = (
            'import sys; sys.path[:0] = ["platform", "."]; '
            'import platform; platform.python_version(); '
            'print(platform.__file__)'
        )
        completed = subprocess.run(
            [sys.executable, '-c', code],
            cwd=_ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertNotIn(str(_ROOT), completed.stdout)

    def test_deployed_versions_are_those_of_the_lock(self) -> None:
        locked = _pins(_ROOT / 'requirements.lock')
        deployed = _pins(_ROOT / 'deploy' / 'requirements.txt')
        for name in deployed.keys() - _BUILD_ONLY:
            with self.subTest(name=name):
                self.assertEqual(deployed[name], locked[name])

    def test_deploy_file_names_existing_files(self) -> None:
        text = (_ROOT / 'deploy' / 'system.toml').read_text()
        role = tomllib.loads(text)['roles']['gateway']
        script = role['run'].split()[1]
        self.assertTrue((_ROOT / script).exists())
        self.assertTrue((_ROOT / role['template']).exists())

    def test_template_yields_valid_settings(self) -> None:
        text = builders.settings_text(
            {
                'node': 'front-1',
                'listen.front': '127.0.0.1:1001',
                'listen.ready': '127.0.0.1:1002',
                'listen.directory': '127.0.0.1:1003',
                'internal_ports.0': '1004',
                'platform.address': '127.0.0.1:1006',
                'bounds.retry_budget_extra': '132',
            },
        )
        self.assertFalse(re.findall(r'\{\{.*?\}\}', text))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.toml'
            path.write_text(text)
            settings = load_gateway_settings(path)
        self.assertEqual(settings.listen.peer_address, '127.0.0.1:1004')
        self.assertEqual(settings.bounds.retry_extra, 132)
        self.assertEqual(settings.daemon.processor_share, 0.5)
        self.assertEqual(settings.daemon.processor_speed, 2)
