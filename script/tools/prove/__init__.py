"""Seeded searches over interleavings of messages, faults and crashes.

Each model runs the decision code of the daemon under a logical clock and
notes what breaks a rule in ``violations``.
"""
