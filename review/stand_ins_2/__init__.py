"""Stand-ins of the platform, the targets and the consumers of a deployment.

They use the standard library only and follow the users' pages.
"""
