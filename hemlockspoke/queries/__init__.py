"""Query engine: version selection, fan-out, hedging and merging of rows."""
