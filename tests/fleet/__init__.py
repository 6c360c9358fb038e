"""Tests of the fleet view and of stall detection."""
