"""Simulated external systems for demonstrations and tests."""
