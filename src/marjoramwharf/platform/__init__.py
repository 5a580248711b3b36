"""The adapter to the users' platform: names, formats and calls only.

Everything that the platform says is decoded here, once, into the types of
``scheduling`` and ``cells``. Nothing in this package decides.
"""
