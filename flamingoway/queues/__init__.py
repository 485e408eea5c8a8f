"""Queues of stepped jobs whose tasks run on leased workers."""
