"""Cold replicas: replicas that tolerate few requests for some time after a start."""
