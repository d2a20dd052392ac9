"""HTTP servers and searcher connections of an entry host."""
