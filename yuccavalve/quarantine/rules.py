"""What counts as proof against each kind of suspect."""

import math
from typing import Final

import attrs

from yuccavalve.quarantine import const

__all__ = ('PART_RULES', 'REQUEST_RULES', 'EvidenceRules')


@attrs.frozen
class EvidenceRules:
    """Thresholds and limits of one kind of suspect.

    Attributes
    ----------
    event
        First words of the names of log events.
    field
        Name of the log field that holds the suspect.
    label
        Precedes the suspect in the reason of a refusal.
    min_requests
        Number of different requests among the crashes that are needed.
    min_answers
        Number of whole answers to other requests meanwhile that are needed.
    vouched_s
        For how long after a whole answer crashes do not count.
    sound_memory_s
        How long whole answers are remembered.
    separates_runs
        Whether close crashes each count unless one daemon saw both and their
        runs overlapped. Otherwise close ones count once, whoever saw them.
    sound_renewal_s
        By how much a whole answer has to be newer than the known one to
        count.
    """

    event: str
    field: str
    label: str
    min_requests: int
    min_answers: int
    vouched_s: float
    sound_memory_s: float
    sound_renewal_s: float
    separates_runs: bool
    max_records: int
    max_sound: int


PART_RULES: Final = EvidenceRules(
    event='prompt_part',
    field='part',
    label='quarantined part: ',
    min_requests=const.MIN_REQUESTS,
    min_answers=const.MIN_ANSWERS,
    vouched_s=const.SOUND_S,
    sound_memory_s=math.inf,
    sound_renewal_s=const.SOUND_RENEWAL_S,
    separates_runs=False,
    max_records=const.MAX_RECORDS,
    max_sound=const.MAX_SOUND_PARTS,
)
# A whole request shares nothing with sound ones, so that its own crashes
# suffice and only answers to its own repeats speak for it.
REQUEST_RULES: Final = EvidenceRules(
    event='whole_request',
    field='fingerprint',
    label='quarantined request: ',
    min_requests=1,
    min_answers=0,
    vouched_s=0,
    sound_memory_s=const.REQUEST_SOUND_MEMORY_S,
    sound_renewal_s=const.REQUEST_SOUND_RENEWAL_S,
    separates_runs=True,
    max_records=const.MAX_REQUEST_RECORDS,
    max_sound=const.MAX_SOUND_REQUESTS,
)
