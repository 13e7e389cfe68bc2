"""Translate between the product's model and the users' platform.

Only this package knows the platform's names, formats and calls. It decides
nothing: each module turns messages into the product's types or back.
"""
