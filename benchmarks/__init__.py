"""Benchmarks; each module runs on its own."""
