"""Workers: their state, their health and the client of their agents."""
