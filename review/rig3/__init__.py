"""Stand-ins of the platform, of runners and of clients for review 3."""
