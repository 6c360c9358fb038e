"""Tests against real daemon, engine and platform processes."""
