"""The naive versions that the product is compared with."""
