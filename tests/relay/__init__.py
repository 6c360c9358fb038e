"""Tests of the relay package."""
