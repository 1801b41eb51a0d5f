"""Adapter between the hosting platform's protocols and the types of this project.

The names that the platform uses on the wire are decoded and encoded in this package only.
"""
