"""Tests of the platform adapter."""

import logging
import sys
from pathlib import Path

_FOLDER = str(Path(__file__).resolve().parents[2] / 'platform')

if _FOLDER not in sys.path:
    sys.path.append(_FOLDER)

# Cut connections make request handlers of the stand-in fail, which uvicorn
# would log as errors.
logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
