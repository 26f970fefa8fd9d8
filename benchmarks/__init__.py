"""Benchmarks; each prints a table and writes one JSON file."""
