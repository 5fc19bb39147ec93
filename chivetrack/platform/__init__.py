"""The names, formats and calls of the platform; nothing here decides anything.

Every message of the platform is decoded once, into types of the product.
"""
