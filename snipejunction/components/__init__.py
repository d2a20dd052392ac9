"""Components of a host: tables, messages and systems of one concern each."""
