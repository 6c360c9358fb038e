"""Tests of the bounds of what a process holds for its callers."""
