"""Measures of the product, the naive version and the ideal, with their bounds."""
