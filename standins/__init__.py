"""Stand-ins for the platform, used by demonstrations, tests and benchmarks."""
