"""Tests: one file for each promise, and unit tests."""
