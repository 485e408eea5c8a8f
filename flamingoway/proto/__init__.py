"""Generated gRPC code of the store and worker protocols."""
