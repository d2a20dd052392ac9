"""The deployment that all hosts serve: one document and the drains."""
