"""Benchmarks of the product, a naive version and an ideal one, with bounds on the results."""
