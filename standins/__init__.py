"""Stand-ins of outside systems, for demonstrations and tests."""
