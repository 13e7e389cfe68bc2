"""Stand-ins and tools that the cases from 6 on share."""
