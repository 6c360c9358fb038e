"""Thresholds, times and limits of the quarantine."""

from typing import Final

# Crashes of different engines that put a suspect into quarantine, and how many
# different requests with a prompt's part have to be among them.
MIN_CRASHES: Final = 3
MIN_REQUESTS: Final = 2
# Whole answers to other requests meanwhile. Without them it is not a prompt's
# part that ends engines.
MIN_ANSWERS: Final = 2
# Crashes closer together than this count once: engines that end at the same
# moment, as those of one fabric domain, are not ended by a prompt.
CRASH_SPACING_S: Final = 0.02
# Time from the first crash for other daemons to report whole answers.
SETTLE_S: Final = 0.5
# For how long a whole answer shows that its prompt's parts are sound.
SOUND_S: Final = 10.0
# An answer that has gone on for longer than this did not crash its engine.
BEGIN_MAX_S: Final = 0.5
# First quarantine; it doubles with each trial that crashes an engine.
QUARANTINE_S: Final = 15.0
MAX_QUARANTINE_S: Final = 600.0
MAX_DOUBLINGS: Final = 16
# After the quarantine single requests are let through as trials. Each daemon
# begins at a random time in a span that grows with the number of daemons, so
# that the others hear of a crash before they try.
TRIAL_SPACING_S: Final = 2.0
MAX_TRIAL_SPREAD_S: Final = 60.0
TRIAL_TIMEOUT_S: Final = 8.0
# How long crashes are remembered of a suspect that is not in quarantine, and
# of one whose quarantine has ended.
SUSPECT_MEMORY_S: Final = 120.0
TRIAL_MEMORY_S: Final = 60.0
# How long new evidence is passed on, through hubs and by gossip.
RELAY_S: Final = 2.0
GOSSIP_RELAY_S: Final = 6.0
# By how much evidence that a suspect is sound has to be newer than the known
# one to count.
SOUND_RENEWAL_S: Final = 1.0
REQUEST_SOUND_RENEWAL_S: Final = 0.25
# How long whole answers to a request are remembered, for crashes that other
# daemons report later.
REQUEST_SOUND_MEMORY_S: Final = 8.0
# How much longer a suspect has to be remembered for a daemon that does not know
# it to learn of it. Ages grow less exact with each daemon that passes them on.
LEARN_MARGIN_S: Final = 5.0
# How often old evidence is looked for.
EXPIRE_PERIOD_S: Final = 0.1
# Limits on memory and on the size of messages, for each kind of suspect.
MAX_RECORDS: Final = 256
MAX_SOUND_PARTS: Final = 4096
MAX_REQUEST_RECORDS: Final = 512
MAX_SOUND_REQUESTS: Final = 16384
MAX_ENGINES_PER_SUSPECT: Final = 16
MAX_RELAYED: Final = 64
MAX_HOLDS_SENT: Final = 64
