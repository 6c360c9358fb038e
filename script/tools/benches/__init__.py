"""Benchmarks; ``script/bench --list`` prints their names."""
