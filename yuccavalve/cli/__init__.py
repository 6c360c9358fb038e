"""The command line."""

from yuccavalve.cli.main import application, main

__all__ = ('application', 'main')
