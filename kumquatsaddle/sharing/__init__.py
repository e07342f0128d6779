"""What the instances of a zone tell each other about backend servers and the store."""
