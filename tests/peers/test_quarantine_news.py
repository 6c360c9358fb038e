"""How evidence on parts of prompts spreads among gateway daemons."""

import unittest

from tests.quarantine import builders as builders_of_prompts
from tests.quarantine.builders import BAD, crash
from tests.support import builders
from tests.support.share_model import ShareModel
from yuccavalve.quarantine import RequestCrash
from yuccavalve.quarantine.const import MAX_HOLDS_SENT, MIN_CRASHES

_DAEMONS = 88
# Daemons have to refuse a part this long after it has crashed engines.
_STABLE_S = 3.0
# What the holds of one part may add to a message.
_MAX_PART_BYTES = 32


class SpreadTest(unittest.TestCase):
    """Eighty-eight daemons in three zones, each of which sees one crash."""

    def setUp(self) -> None:
        """Let daemons of different cells see a crash each."""
        self.model = ShareModel.of(_DAEMONS)
        self.model.run(3)
        for number in range(MIN_CRASHES):
            share_state = self.model.daemons[-1 - number].share_state
            share_state.quarantine.record_crash(
                crash(number), self.model.clock.now_s()
            )
            builders_of_prompts.answer_others(
                share_state.quarantine, self.model.clock.now_s()
            )
            self.model.run(0.5)

    def _refusing(self) -> int:
        now_s = self.model.clock.now_s()
        return sum(
            each.share_state.quarantine.find((BAD,), now_s) is not None
            for each in self.model.live()
        )

    def test_all_daemons_refuse_the_part_in_time(self) -> None:
        self.model.run(_STABLE_S)
        self.assertEqual(self._refusing(), _DAEMONS)

    def test_whole_answer_at_one_daemon_clears_the_part_at_all(self) -> None:
        self.model.run(_STABLE_S)
        sound = self.model.daemons[5].share_state.quarantine
        sound.record_sound((BAD,), self.model.clock.now_s())
        self.model.run(_STABLE_S)
        self.assertEqual(self._refusing(), 0)

    def test_daemon_that_starts_later_learns_the_part(self) -> None:
        self.model.run(_STABLE_S)
        for daemon in self.model.daemons[:-1]:
            daemon.dead = True
        added = self.model.add(builders.member('late'))
        self.model.run(_STABLE_S)
        now_s = self.model.clock.now_s()
        hit = added.share_state.quarantine.find((BAD,), now_s)
        self.assertIsNotNone(hit)

    def test_messages_with_many_parts_stay_bounded(self) -> None:
        now_s = self.model.clock.now_s()
        quarantine = self.model.daemons[0].share_state.quarantine
        before = self.model.daemons[0].share_state.build_message().ByteSize()
        for part in range(100, 1100):
            for number in range(MIN_CRASHES):
                quarantine.record_crash(
                    crash(number, part), now_s + number * 0.1
                )
        builders_of_prompts.answer_others(quarantine, now_s + 0.3)
        self.model.clock.advance(1)
        after = self.model.daemons[0].share_state.build_message().ByteSize()
        self.assertLess(after - before, _MAX_PART_BYTES * MAX_HOLDS_SENT * 2)


class WholeRequestSpreadTest(unittest.TestCase):
    """Daemons of different cells see one crash each, and nothing else."""

    def test_all_daemons_refuse_the_whole_request_in_time(self) -> None:
        model = ShareModel.of(_DAEMONS)
        model.run(3)
        suspect = builders_of_prompts.fingerprint(1)
        for number in range(MIN_CRASHES):
            share_state = model.daemons[-1 - number].share_state
            share_state.quarantine.record_crash(
                RequestCrash(number, (), suspect), model.clock.now_s()
            )
            model.run(0.1)
        model.run(_STABLE_S)
        now_s = model.clock.now_s()
        refusing = sum(
            each.share_state.quarantine.find((suspect,), now_s) is not None
            for each in model.live()
        )
        self.assertEqual(refusing, _DAEMONS)
