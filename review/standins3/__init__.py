"""Stand-ins of the third review: store, databases, entry instances and clients on loopback."""
