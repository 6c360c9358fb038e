"""Tests of the rate limits that engines name."""
