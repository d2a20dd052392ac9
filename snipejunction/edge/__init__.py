"""I/O layer: sockets, files, clocks and logs around the systems."""
