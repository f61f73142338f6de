"""Entry points of the programs, one module per program."""
