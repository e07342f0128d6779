"""Benchmarks and measurements."""
