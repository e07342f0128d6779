"""Discovery of backend servers, instances and published routes."""
