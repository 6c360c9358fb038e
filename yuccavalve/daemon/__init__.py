"""The daemon process: loops and servers around the decision logic."""

from yuccavalve.daemon.node import Node
from yuccavalve.daemon.runner import run_daemon

__all__ = ('Node', 'run_daemon')
