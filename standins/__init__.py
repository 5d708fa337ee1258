"""Small stand-ins for the platform and for database targets, for tests and the demo."""
