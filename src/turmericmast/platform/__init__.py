"""The adapter to the provider's platform.

Translates its document formats, HTTP paths, headers and settings to the types
of this product, and back. The names of the platform occur in this package only;
the packages that it calls make the decisions.
"""
