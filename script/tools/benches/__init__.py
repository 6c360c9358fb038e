"""Benches; ``script/bench --list`` names them."""
