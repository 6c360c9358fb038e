"""Tests of the quarantine of prompts' parts."""
