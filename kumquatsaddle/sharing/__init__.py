"""Exchange of backend server loads and store versions between instances."""
