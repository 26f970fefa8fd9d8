"""Benchmarks that print their figures; most also write a JSON file."""
