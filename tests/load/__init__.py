"""Tests of the load decisions."""
