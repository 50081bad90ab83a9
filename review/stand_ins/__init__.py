"""Stand-ins of the users' platform for the review's scripts.

They follow the users' pages and need nothing but Python's own library.
"""
