"""Soak of planned work and store faults: real processes before stand-ins, events from a seed."""
