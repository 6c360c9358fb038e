"""The daemon process: loops and servers around the decision logic.

``runner`` runs a daemon of the project's own interface, ``gateway_runner`` one
behind a platform adapter. Each imports only what it runs.
"""
