"""Periods and bounds of forming replicas."""

from typing import Final

# Pause between the planner's steps, and the least after a change.
STEP_S: Final = 0.1
STEP_LEAST_S: Final = 0.02
# Pause between looks of a daemon that does not plan at whether it does.
STEP_IDLE_S: Final = 0.2
# Time after which an order without an effect is given again.
ORDER_AGAIN_S: Final = 0.7
ORDER_TIMEOUT_S: Final = 0.6
# The same for an order to load a model, which shows no effect for long.
STAGE_AGAIN_S: Final = 30.0
# Engines answer reports without a slot, within a few milliseconds.
REPORT_TIMEOUT_S: Final = 0.2
# Replicas that take this many times their expected time to form, and a
# margin, are given up.
FORMING_FACTOR: Final = 2.5
FORMING_MARGIN_S: Final = 3.0
# Pause between probes of the same engine, and of one whose replica stands
# still.
PROBE_AGAIN_S: Final = 0.8
PROBE_STRUCK_S: Final = 0.4
# How long an engine that did not answer a probe counts as dead, unless it
# answers another or starts again; its record lapses before.
DEAD_S: Final = 6.0
# Epochs that one term of the planner may hand out: more than it uses in a
# year at one a minute.
EPOCHS_PER_TERM: Final = 1000000
# Time before its end at which a draining engine's replica is given up when
# no spare is ready.
DRAIN_MARGIN_S: Final = 0.6
# Part of the weight store's rate that is used.
LOAD_RATE_PART: Final = 0.8
LOAD_WINDOW_S: Final = 5.0
# Before callers' requests have begun, replicas are formed only once no engine
# was added for this long, since others may follow that fit better.
SETTLE_S: Final = 0.8
# A model may be this much further ahead, by engines for its share of the
# work, than the model that is furthest behind.
BALANCE_MARGIN: Final = 1.05
# A probe is sent a second time after this pause, since a lost packet would
# make a living engine look dead.
PROBE_HEDGE_S: Final = 0.08
# How long a model must be short before engines move to it.
SHORTAGE_S: Final = 1.0
# For how long after engines were given up for a model it forms first; their
# first engine has left by then, and the next records have come.
FAVOUR_S: Final = 3.0
# Memory of the moving average of what callers ask of each model.
DEMAND_MEMORY_S: Final = 3.0
# Pause between lines of the log about it.
DEMAND_LOG_S: Final = 1.0
# Weight of what is measured against what the configuration states of the
# models' parts of the work, and the requests under way from which it counts.
MEASURED_WEIGHT: Final = 0.7
LEAST_RUNNING: Final = 20
# A model is short of replicas when more than this part of their slots is used:
# first events and pauses are late long before all are.
BUSY_PART: Final = 0.5
# A model with fewer replicas than this forms one wherever it fits, since the
# loss of a single engine would stop it.
SCARCE_REPLICAS: Final = 2
# Names of the replicas in which warm spares wait begin so.
STANDBY_PREFIX: Final = 'standby-'
# Part of the loads that the weight store serves at once that goes to hosts
# which load a second model; spares that load their first one need the rest.
STAGING_PART: Final = 0.5
# Spares of one model that a domain keeps; more may take over another model.
SPARES_KEPT: Final = 1
# Engines that hold another model join only where bare ones would take this
# much longer: after a load of theirs.
TAKEOVER_PENALTY_S: Final = 10.0
# Part of a load by which an engine that is loading a model already is taken
# to be ahead of one that would begin now.
HEAD_START: Final = 0.5
# For how long the records of engines may lag behind what they were told.
RECORD_LAG_S: Final = 1.0
# An engine counts as slow when its report says that its times are this many
# times the usual ones, and for how long a report counts.
SLOW_FACTOR: Final = 1.5
SLOW_TRUST_S: Final = 8.0
# Slow engines join a replica only where all others would take this much
# longer to join.
SLOW_PENALTY_S: Final = 60.0
# How long a daemon counts as a newcomer to the list; engines that have left
# the list serve on for ten seconds at most while their replica has work.
NEWCOMER_S: Final = 10.0
# How long a first engine that refuses connections may still work on the
# requests that it has, as the platform states for engines that leave.
LINGER_S: Final = 10.0
