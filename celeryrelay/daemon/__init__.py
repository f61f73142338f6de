"""Entry daemon: proxies caller connections to the backend servers."""
