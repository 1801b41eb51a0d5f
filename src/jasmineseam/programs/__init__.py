"""The programs: wiring of aggregates, adapters and links, one module each."""
