"""Data centres and the network delays between them."""
