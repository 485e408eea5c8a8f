"""flamingoway: a cluster scheduler and request router for unlike workloads."""

__version__ = "0.1.0"
