"""Outliers: replicas that fail calls more often than others, found by all routers.

A router of a large fleet sends a replica a call every few seconds, so no router notices
alone that a replica fails some of its calls. Each reports failures to the leader, which
tells all routers which replicas to avoid.
"""
