"""Tests of the bound on requests to cold engines."""
