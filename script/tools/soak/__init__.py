"""Randomized soak test of gateway daemons against the platform stand-in."""
