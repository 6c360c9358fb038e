"""Track the configuration version in force and whether it is still fresh.

A daemon admits work only while it can prove that its version was the newest
accepted one at most ``CONFIG_MAX_AGE_S`` ago. Either of two proofs suffices:

- the head in the table service, read by this daemon or by a peer;
- reports from a majority of the voters of one region, none of which had
  adopted a newer version at that time.

A change is accepted once a majority of the voters of every region has adopted
it. Any majority of one region therefore includes a voter that has adopted the
newest accepted change. Ages in a peer's reply are counted back from the time
at which the request was sent, so clocks of different daemons are never
compared. See ``docs/design/configuration.md``.
"""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from yuccavalve.configuration.models import Configuration, Voter
from yuccavalve.const import CONFIG_MAX_AGE_S

__all__ = ('AdoptionState', 'Evidence')

_NEVER_S = float('-inf')


@attrs.frozen
class Evidence:
    """A report that a voter ran a version at a local monotonic time."""

    voter: str
    version: int
    at_s: float


@attrs.define
class AdoptionState:
    """The version in force at one daemon, and the evidence for it.

    Attributes
    ----------
    store_confirmed_at_s
        Latest monotonic time at which the head in the table service was
        known not to be newer than the version in force.
    votes
        Whether this daemon counts as a voter. It does once this process has
        read the head itself, since its version is then at least what an
        earlier process of the same name had adopted.
    fresh_s
        How long in seconds the version stays fresh after it was confirmed.
    """

    name: str
    configuration: Configuration = Configuration(0, 0, '', '', '')
    store_confirmed_at_s: float = _NEVER_S
    votes: bool = False
    fresh_s: float = CONFIG_MAX_AGE_S
    _evidence: dict[str, Evidence] = attrs.field(factory=dict)

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.configuration.version

    def adopt(self, configuration: Configuration) -> bool:
        """Adopt a newer version; return whether it was newer."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        return True

    def observe_head(self, version: int, sent_at_s: float) -> bool:
        """Record the head that this daemon or a peer read.

        Parameters
        ----------
        version
            Version of the head.
        sent_at_s
            Monotonic time before the read was sent.

        Returns
        -------
        bool
            True when a newer version has to be fetched.
        """
        if version <= self.version:
            self.store_confirmed_at_s = max(
                self.store_confirmed_at_s, sent_at_s
            )
        return version > self.version

    def observe_local_read(self, version: int, sent_at_s: float) -> bool:
        """Record a head that this process has read itself.

        This daemon counts as a voter once it runs the version of the head.
        """
        newer = self.observe_head(version, sent_at_s)
        self.votes = self.votes or not newer
        return newer

    def observe_voters(self, reports: Iterable[Evidence]) -> None:
        """Keep the newest report of each voter."""
        for report in reports:
            known = self._evidence.get(report.voter)
            if known is None or report.at_s > known.at_s:
                self._evidence[report.voter] = report

    def evidence(self, now_s: float) -> list[Evidence]:
        """Return the newest report of each voter, this daemon included."""
        known = dict(self._evidence)
        known.pop(self.name, None)
        if self.votes:
            known[self.name] = Evidence(self.name, self.version, now_s)
        names = self.configuration.electorate.names()
        return [known[name] for name in names if name in known]

    def version_of(self, name: str) -> int | None:
        """Return the version that a daemon was last known to run."""
        if name == self.name:
            return self.version
        report = self._evidence.get(name)
        return None if report is None else report.version

    def confirmed_at(self, now_s: float) -> float:
        """Return the latest time at which the version is known to be newest."""
        return max(self.store_confirmed_at_s, self._majority_at(now_s))

    def is_fresh(self, now_s: float) -> bool:
        """Return whether work may be admitted under the version in force."""
        return now_s - self.confirmed_at(now_s) <= self.fresh_s

    def is_accepted(self, version: int, now_s: float) -> bool:
        """Return whether a version is known to be accepted."""
        if self.version < version:
            return False
        adopters = {
            report.voter
            for report in self.evidence(now_s)
            if report.version >= version
        }
        return all(
            _holds_majority(voters, adopters)
            for voter_set in self.configuration.electorate.voter_sets()
            for voters in _by_region(voter_set).values()
        )

    def _majority_at(self, now_s: float) -> float:
        sets = self.configuration.electorate.voter_sets()
        if not sets:
            return _NEVER_S
        times = {
            report.voter: report.at_s
            for report in self.evidence(now_s)
            if report.version <= self.version
        }
        return min(_best_region_at(voter_set, times) for voter_set in sets)


def _best_region_at(
    voter_set: tuple[Voter, ...],
    times: dict[str, float],
) -> float:
    return max(
        _majority_time(voters, times)
        for voters in _by_region(voter_set).values()
    )


def _majority_time(voters: list[str], times: dict[str, float]) -> float:
    readings = sorted(
        (times.get(voter, _NEVER_S) for voter in voters),
        reverse=True,
    )
    return readings[len(voters) // 2]


def _holds_majority(voters: list[str], adopters: set[str]) -> bool:
    return len(adopters.intersection(voters)) > len(voters) // 2


def _by_region(voter_set: tuple[Voter, ...]) -> dict[str, list[str]]:
    regions: dict[str, list[str]] = defaultdict(list)
    for voter in voter_set:
        regions[voter.region].append(voter.name)
    return regions
