"""Roll-outs of searcher versions."""
