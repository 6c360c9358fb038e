"""Row keys, retry limits and name rules of the configuration."""

from typing import Final

HEAD_KEY: Final = 'config/head'
VERSION_KEY: Final = 'config/version/{version:012d}'
CHANGE_KEY: Final = 'config/change/{change_id}'
COMMIT_ATTEMPTS: Final = 5
COMMIT_BACKOFF_S: Final = 0.5
NAME_PATTERN: Final = r'^[a-z][a-z0-9-]{0,62}$'
KIND_MODEL: Final = 'model'
KIND_PLAIN: Final = 'plain'
