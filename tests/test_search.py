"""Seeded random searches, each also run with a rule switched off."""

import asyncio
import unittest
from random import Random
from typing import Any

from script.tools.prove.claims import ClaimsModel
from script.tools.prove.configuration import ConfigurationModel
from script.tools.prove.grants import GrantsModel
from script.tools.prove.ledger import LedgerModel
from script.tools.prove.mutants import (
    Mutant,
    find_stale_mutants,
    load_mutants,
)
from script.tools.prove.returns import ReturnsModel


def _violations(
    model_class: Any, seeds: int, steps: int, **broken: bool
) -> list[str]:
    found = []
    for seed in range(seeds):
        model = model_class(Random(seed), **broken)
        asyncio.run(model.async_run(steps))
        found.extend(f'seed {seed}: {text}' for text in model.violations[:1])
    return found


class SearchTest(unittest.TestCase):
    """Models find no violation, but find one when a rule is switched off."""

    def test_configuration(self) -> None:
        self.assertEqual(_violations(ConfigurationModel, 20, 500), [])

    def test_configuration_without_quorum(self) -> None:
        broken = _violations(
            ConfigurationModel,
            8,
            500,
            accept_at_commit=True,
        )
        self.assertTrue(broken)

    def test_claims(self) -> None:
        self.assertEqual(_violations(ClaimsModel, 10, 2500), [])

    def test_claims_without_conditions(self) -> None:
        self.assertTrue(_violations(ClaimsModel, 10, 2500, check_hosts=False))

    def test_ledger(self) -> None:
        self.assertEqual(_violations(LedgerModel, 20, 500), [])

    def test_ledger_without_check(self) -> None:
        self.assertTrue(_violations(LedgerModel, 3, 300, check_ledger=False))

    def test_grants(self) -> None:
        self.assertEqual(_violations(GrantsModel, 20, 600), [])

    def test_grants_without_boot(self) -> None:
        self.assertTrue(_violations(GrantsModel, 20, 600, check_boot=False))

    def test_returns(self) -> None:
        self.assertEqual(_violations(ReturnsModel, 20, 800), [])

    def test_returns_that_no_era_states(self) -> None:
        found = _violations(ReturnsModel, 10, 800, states_era=False)
        self.assertEqual(found, [])

    def test_returns_without_eras(self) -> None:
        self.assertTrue(_violations(ReturnsModel, 8, 800, heeds_era=False))


class MutantsTest(unittest.TestCase):
    """Mutants replace text that the sources hold."""

    def test_every_kept_text_occurs_once(self) -> None:
        self.assertEqual(find_stale_mutants(load_mutants()), [])

    def test_text_that_does_not_occur_once_is_found(self) -> None:
        absent = Mutant('test_x', 'membership/lease.py', 'no such text', '')
        repeated = Mutant('test_x', 'membership/lease.py', 'self', '')
        self.assertEqual(len(find_stale_mutants([absent, repeated])), 2)
