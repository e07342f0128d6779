"""What instances know of backend servers and of each other, and from where."""
