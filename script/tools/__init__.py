"""Modules behind the scripts: local clusters, callers, benchmarks."""
