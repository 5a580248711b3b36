"""Tools that start local fleets, put load on them and check their histories."""
