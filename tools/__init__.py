"""Tools for development."""
