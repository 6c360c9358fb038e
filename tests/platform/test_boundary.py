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
# Third-party packages that a gateway daemon imports. Each one is paid for by
# every daemon at every start.
_DAEMON_PACKAGES = frozenset(
    (
        'absl',
        'anyio',
        'attr',
        'attrs',
        'cattrs',
        'click',
        'google',
        'grpc',
        'hdrh',
        'httptools',
        'prometheus_client',
        'pyhdrh',
        'starlette',
        'typing_extensions',
        'uvicorn',
        'xxhash',
    ),
)
# Imported by grpc where the development tools are installed.
_DEVELOPMENT_PACKAGES = frozenset(('grpc_tools',))
# Packages of the project's own interface, which a gateway daemon never runs.
_OWN_PATH_PACKAGES = frozenset(
    ('cli', 'configuration', 'operators', 'replicas', 'requests', 'standin'),
)
_LIST_MODULES = (
    'import sys; before = set(sys.modules); '
    'sys.path[:0] = ["platform", "."]; '
    'import yuccavalve_platform.daemon; '
    'added = set(sys.modules) - before; '
    'print(*(f"{each}={getattr(sys.modules[each], \'__file__\', 0)}" '
    'for each in added))'
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
                'internal_ports.1': '1005',
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


class DaemonImportsTest(unittest.TestCase):
    """A gateway daemon imports only what it runs."""

    def setUp(self) -> None:
        """List the modules that a gateway daemon imports."""
        finished = subprocess.run(
            [sys.executable, '-c', _LIST_MODULES],
            cwd=_ROOT,
            capture_output=True,
            check=True,
            text=True,
        )
        self.files = dict(
            entry.split('=', 1) for entry in finished.stdout.split()
        )

    def test_no_other_third_party_package_is_imported(self) -> None:
        third_party = {
            name.partition('.')[0]
            for name, path in self.files.items()
            if 'site-packages' in path
        }
        self.assertEqual(third_party - _DAEMON_PACKAGES, _DEVELOPMENT_PACKAGES)

    def test_own_interface_is_not_imported(self) -> None:
        packages = {
            name.split('.')[1]
            for name in self.files
            if name.startswith('yuccavalve.')
        }
        self.assertEqual(packages & _OWN_PATH_PACKAGES, set())
