"""Naive implementations, which tests and benchmarks compare with the product."""
