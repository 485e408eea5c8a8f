"""Stand-ins for the external systems; not part of the product."""
