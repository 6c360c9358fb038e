"""Tests of the peer protocol."""
