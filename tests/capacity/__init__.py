"""Tests of learned capacities."""
