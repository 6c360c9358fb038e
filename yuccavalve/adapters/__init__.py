"""HTTP adapters of the ports; each is imported by itself."""
