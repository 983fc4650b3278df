"""Queries over the parts of an index: snapshot, fan-out, hedges, merged rows."""
