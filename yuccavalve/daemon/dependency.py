"""Log when an external system or daemon becomes unavailable or recovers."""

import attrs
from absl import logging

__all__ = ('Dependency',)


@attrs.define
class Dependency:
    """Logs when a system or daemon becomes unavailable or recovers."""

    name: str
    unavailable: bool = False

    def record_error(self, error: Exception) -> None:
        """Record a failed call; log the first one in a row."""
        if not self.unavailable:
            logging.warning(
                'event=dependency_lost dependency=%s cause=%r',
                self.name,
                str(error),
            )
        self.unavailable = True

    def record_answer(self) -> None:
        """Record an answered call; log it if the previous call failed."""
        if self.unavailable:
            logging.warning(
                'event=dependency_regained dependency=%s', self.name
            )
        self.unavailable = False
