"""Renders command results as text or JSON."""
