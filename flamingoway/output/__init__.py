"""Rendering of command results for people and for programs."""
