"""Routing, limits, fairness and retries as pure decisions."""
