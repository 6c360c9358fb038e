"""Tests of the admission queue."""
