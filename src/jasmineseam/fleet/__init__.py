"""What a node knows of the other nodes, and how news reaches all of them."""
