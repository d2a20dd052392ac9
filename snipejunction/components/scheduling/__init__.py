"""Waiting, refusing and placing when searchers have too little room."""
