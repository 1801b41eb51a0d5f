"""Translation between the users' platform and the product.

Every name that the platform puts on the wire is read or written here and nowhere else.
"""
