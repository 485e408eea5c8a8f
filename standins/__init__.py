"""Stand-ins for the external systems that flamingoway talks to."""
