"""The binaries, one duty each."""
