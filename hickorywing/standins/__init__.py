"""Stand-ins for the platform: for tests and a first run only."""
