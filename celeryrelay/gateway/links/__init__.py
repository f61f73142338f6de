"""Links between daemons, over which they lease connections to each other."""
