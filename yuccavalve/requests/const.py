"""Constants of the request filters."""

from typing import Final

COMPLETIONS_PATH: Final = '/v1/chat/completions'
SERVICES_PREFIX: Final = '/v1/services/'
EVENT_END: Final = b'\n\n'
CONTENT_EVENTS: Final = 'text/event-stream'
CONTENT_JSON: Final = 'application/json'
LEDGER_KEY: Final = 'ledger/{workspace}/{key}'
ANSWER_NAME: Final = 'answer/{workspace}/{key}'
LEDGER_BATCH_DELAY_S: Final = 0.005
LEDGER_RETRY_PERIOD_S: Final = 1.0
LEDGER_MAX_PENDING_RETRIES: Final = 4096
MAX_KEY_LENGTH: Final = 128
MAX_DEADLINE_S: Final = 3600.0
PREFIX_CHARACTERS: Final = 256
MAX_ATTEMPTS: Final = 3
MAX_RESUMES: Final = 2
MAX_ANSWER_BYTES: Final = 16777216
PACER_STEPS: Final = 40
PACER_RETRY_STEPS: Final = 8
PACER_SAMPLE_PERIOD_S: Final = 0.25
PACER_IDLE_LOAD: Final = 0.08
PACER_FULL_LOAD: Final = 0.2
SWEEP_PERIOD_S: Final = 0.25
