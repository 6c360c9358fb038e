"""How daemons tell each other of evacuated zones."""

import unittest

from tests.support.share_model import ShareModel
from yuccavalve.evacuation import EvacuationReading
from yuccavalve.peers.evacuation_news import (
    apply_evacuations,
    encode_evacuations,
)
from yuccavalve.peers.generated import peer_pb2

_DAEMONS = 82
_STABLE_S = 2.0


class EvacuationNewsTest(unittest.TestCase):
    """Eighty-two daemons in three zones, of which one reads the table."""

    def setUp(self) -> None:
        """Let the daemons choose their hubs."""
        self.model = ShareModel.of(_DAEMONS)
        self.model.run(3)

    def _read(self, version: int, zones: dict[str, bool]) -> None:
        state = self.model.daemons[-1].share_state.evacuations
        reading = EvacuationReading(version, zones, is_complete=version == 1)
        state.apply_reading(reading, self.model.clock.now_s())

    def _sets(self) -> set[frozenset[str]]:
        return {
            each.share_state.evacuations.zones for each in self.model.daemons
        }

    def test_all_daemons_learn_begin_and_end(self) -> None:
        self._read(1, {'a': True, 'b': True})
        self.model.run(_STABLE_S)
        self.assertEqual(self._sets(), {frozenset('ab')})
        self._read(2, {'a': False})
        self.model.run(_STABLE_S)
        self.assertEqual(self._sets(), {frozenset('b')})

    def test_unknown_set_is_not_told_as_an_empty_one(self) -> None:
        state = self.model.daemons[0].share_state.evacuations
        message = peer_pb2.ShareMessage(
            evacuations=encode_evacuations(state, 1)
        )
        self.assertFalse(message.HasField('evacuations'))
        apply_evacuations(state, message, 1)
        self.assertFalse(state.is_known)
