"""Seeded model checks over interleavings of messages, faults and crashes.

Each model runs the daemon's decision code under a manual clock, takes random
steps and records broken invariants in ``violations``.
"""
