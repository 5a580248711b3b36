"""The adapter to the users' platform: names, formats and calls only.

This package decodes every message and stored value of the platform, once,
into the types of ``scheduling`` and ``cells``. It makes no decisions.
"""
