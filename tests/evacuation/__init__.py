"""Tests of the evacuated zones."""
