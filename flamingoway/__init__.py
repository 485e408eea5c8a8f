"""flamingoway: a cluster scheduler and request router for heterogeneous workloads."""

__version__ = "0.1.0"
