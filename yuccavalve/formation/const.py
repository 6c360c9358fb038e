"""Periods and limits of replica formation."""

from typing import Final

# Period of the planner's steps, and the minimum time between two steps when
# something has changed.
STEP_S: Final = 0.1
MIN_STEP_S: Final = 0.02
# An order is repeated after this time unless records show its effect.
ORDER_RETRY_S: Final = 0.7
ORDER_TIMEOUT_S: Final = 0.6
# As ORDER_RETRY_S, for an order to load a model: its effect shows only at the
# end of the load.
STAGE_RETRY_S: Final = 30.0
# Reports take no request slot, so engines answer within a few milliseconds.
REPORT_TIMEOUT_S: Final = 0.2
# A forming replica is abandoned after this multiple of the expected time plus
# the margin.
FORMING_FACTOR: Final = 2.5
FORMING_MARGIN_S: Final = 3.0
# Minimum time between probes of the same engine, and of one in a stalled
# replica.
PROBE_INTERVAL_S: Final = 0.8
STALLED_PROBE_INTERVAL_S: Final = 0.4
# Age up to which a probe that timed out shows that an engine is still silent.
PROBE_MAX_AGE_S: Final = 0.8
# How long an engine that did not answer a probe counts as dead, unless it
# answers a later one or restarts. Its record lapses sooner.
DEAD_ENGINE_S: Final = 6.0
# Epochs reserved for each term of the planner: more than it uses in a year at
# one a minute.
EPOCHS_PER_TERM: Final = 1000000
# Higher epochs in records and reports are not heeded: an entry of another
# writer may hold any, and above them the epochs of 63 bits would run out.
MAX_HEEDED_EPOCH: Final = 4000000000000000000
# Fraction by which a term is raised after an engine has refused it without
# showing its epoch, and how many terms in a row one engine may refuse: enough
# for an epoch three times as high.
REFUSED_TERM_FRACTION: Final = 0.125
REFUSED_TERMS: Final = 10
# A replica whose head engine drains is given up this long before the engine
# stops, even if no spare is warm.
DRAIN_MARGIN_S: Final = 0.6
# Fraction of the weight store's rate of loads that is used, and the window
# over which loads are counted.
LOAD_RATE_FRACTION: Final = 0.8
LOAD_WINDOW_S: Final = 5.0
# Before callers' requests have begun, replicas are formed only once no engine
# was added for this long, as engines that follow may fit better.
SETTLE_S: Final = 0.8
# A model waits for the one with the lowest coverage (replicas for its share of
# the work) if, with one more replica each, its coverage would be higher by
# more than this factor.
BALANCE_MARGIN: Final = 1.05
# A probe is sent a second time after this delay, since a lost packet would
# make a live engine look dead.
PROBE_HEDGE_S: Final = 0.08
# Probes in progress. The answers to more of them would delay each other at the
# planner, so that live engines look dead.
PROBES_AT_ONCE: Final = 32
# How long a model must be short of replicas before engines move to it.
SHORTAGE_S: Final = 1.0
# How long a model has priority after replicas of others were given up for it.
# Their head engines have left by then, and newer records have been read.
MODEL_PRIORITY_S: Final = 3.0
# Time constant of the moving average of each model's requests in flight.
DEMAND_TIME_CONSTANT_S: Final = 3.0
# Period of log lines about this average.
DEMAND_LOG_S: Final = 1.0
# Weight of a model's measured share of the work against the configured one.
# The measured share counts from this many requests in flight.
MEASURED_WEIGHT: Final = 0.7
MIN_RUNNING: Final = 20
# A model is short of replicas when more than this fraction of their slots is
# used: first events and the gaps between events get late long before all are.
BUSY_SLOT_FRACTION: Final = 0.5
# A model with fewer replicas than this does not wait for others to catch up,
# since the loss of a single engine would stop it.
MIN_REPLICAS: Final = 2
# Prefix of the names of standby replicas, which hold warm spares.
STANDBY_PREFIX: Final = 'standby-'
# Fraction of the weight store's concurrent loads that is used to stage a
# second model on hosts; spares that load their first model need the rest.
STAGING_FRACTION: Final = 0.5
# Spares of one model that each domain keeps; any others may be given another
# model.
SPARES_KEPT: Final = 1
# Added to the expected joining time of an engine that holds another model, so
# that cold engines are preferred: both need a load.
TAKEOVER_PENALTY_S: Final = 10.0
# Fraction of a load that is assumed to be done on an engine that is already
# loading the model.
LOAD_DONE_FRACTION: Final = 0.5
# Longest time until a head engine takes no more requests after its replica was
# given up: an order to close that is lost is repeated, and a daemon that has
# not heard of it sends more requests meanwhile.
CLOSE_MARGIN_S: Final = 2.0
# How long after a change of the configuration daemons may still send requests
# with the time-outs of the last one.
ADOPTION_LAG_S: Final = 3.0
# A sound engine may be silent for a second or so. One that has shown no sign of
# life for this long counts as dead: its replica is given up.
ENGINE_SILENCE_S: Final = 1.5
# Daemons that are asked to pass on an order that the planner could not give. A
# cut takes up to three in ten of them from an engine, so one in 15,000 cuts
# takes all of these. A call takes ENGINE_SILENCE_S if the engine is silent.
PASSING_DAEMONS: Final = 8
PASSING_TIMEOUT_S: Final = 2.0
# The same order is passed on again after this time: longer than a call, and
# each daemon gives it to a silent engine three times.
PASSING_RETRY_S: Final = 3.0
# How long after a head engine has left late orders cannot have opened its
# replica again: a join takes 0.2 s at least.
FENCE_AFTER_LEAVE_S: Final = 0.15
# How long records may lag behind orders that were carried out.
RECORD_LAG_S: Final = 1.0
# An engine counts as slow when it reports times of at least this multiple of
# the usual ones, and for how long such a report counts.
SLOW_FACTOR: Final = 1.5
SLOW_REPORT_MAX_AGE_S: Final = 8.0
# Added to the expected joining time of a slow engine, so that it joins only
# when all others would take this much longer.
SLOW_PENALTY_S: Final = 60.0
# How long after a daemon began to follow the list it may not know of engines
# that have left the list and still serve; they serve for ten seconds at most
# while their replica has work.
NEW_VIEW_GRACE_S: Final = 10.0
# How long a leaving engine that no longer listens may still work on requests
# that it has, as the platform states.
LINGER_S: Final = 10.0
# Engines that ended within JOIN_CRASH_S of an order to join are evidence
# against the order's model, and this many of them suspend its joins.
JOIN_CRASH_S: Final = 1.0
JOIN_CRASHES: Final = 3
# How long after an engine ended the planner may notice it: by a repeated order
# or a probe, or only by the lapse of its record.
END_NOTICE_S: Final = 1.2
LATE_END_NOTICE_S: Final = 6.0
# Period within which the engines must have ended.
JOIN_EVIDENCE_S: Final = 10.0
# First suspension of a model's joins; it doubles with each trial that crashes
# an engine. A trial without a result is repeated after its time-out, which
# exceeds the time of a load.
JOIN_SUSPENSION_S: Final = 15.0
JOIN_SUSPENSION_MAX_S: Final = 600.0
JOIN_TRIAL_TIMEOUT_S: Final = 60.0
# How long a model's joins count as having succeeded after the last engine that
# had joined for it.
JOIN_SUCCESS_MAX_AGE_S: Final = 600.0
# Fraction of the rate of loads that other models may use while a model has no
# replica.
OTHER_LOADS_FRACTION: Final = 0.5
