"""Replica list: the platform's list of replicas and its way to the routers."""
