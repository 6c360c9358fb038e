"""Exit codes, environment variables and timeout of the command line."""

from typing import Final

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_CONFLICT: Final = 4
EXIT_NOT_ACCEPTED: Final = 5
EXIT_UNKNOWN_OUTCOME: Final = 6
EXIT_UNREACHABLE: Final = 7

ENV_ADDRESS: Final = 'YUCCAVALVE_ADDRESS'
ENV_KEY_FILE: Final = 'YUCCAVALVE_KEY_FILE'
CALL_TIMEOUT_S: Final = 20.0
