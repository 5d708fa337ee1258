"""Stand-ins of the second review: the platform, its databases, clients and processes."""
