"""Request limits: replicas that limit their requests, and the routers' shares."""
