"""The version of the package."""

VERSION = '0.1.0'
