"""Scheduling and request decisions, without input or output."""
