"""Soak of planned stops: real processes before stand-ins on loopback, with events from a seed."""
