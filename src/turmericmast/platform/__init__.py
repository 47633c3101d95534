"""The adapter to the platform of the users' machines.

Names, formats and calls of the platform stand here and nowhere else; what
they mean for the system is decided by the packages that this one calls.
"""
