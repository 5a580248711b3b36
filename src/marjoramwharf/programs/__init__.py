"""The daemons and command line programs, each with its composition root."""
