"""Tests of the observability package."""
