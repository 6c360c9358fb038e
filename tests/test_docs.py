"""Documentation that must agree with the code."""

import re
import unittest
from pathlib import Path

from yuccavalve.results import ResultCode, http_status

_DOCS = Path(__file__).parents[1] / 'docs'


class DocsTest(unittest.TestCase):
    """The table of result codes matches the code, and links resolve."""

    def test_result_codes(self) -> None:
        text = (_DOCS / 'RESULT-CODES.md').read_text()
        rows = re.findall(r'^\| (\d{4}) \| (\w+) \| (\d{3}) \|', text, re.M)
        documented = [(int(code), name, int(http)) for code, name, http in rows]
        actual = [
            (int(code), code.name, http_status(code)) for code in ResultCode
        ]
        self.assertEqual(documented, actual)

    def test_links_in_readme(self) -> None:
        readme = (_DOCS.parent / 'README.md').read_text()
        for target in re.findall(r'\]\(([^)]+)\)', readme):
            with self.subTest(target=target):
                self.assertTrue((_DOCS.parent / target).exists())
