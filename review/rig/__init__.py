"""Stand-ins and a harness for the cases of the independent review.

Everything here uses the standard library only. The project's own programs are
started as separate processes with the commands of the deploy file.
"""
