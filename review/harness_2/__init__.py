"""Shared code of the review's script cases."""
