"""Busy replicas: those with far more calls than others, as all routers see them.

A router of a large fleet hears seldom of each replica, and one that is full would look
idle to it soon after. The leader merges what the answers to all routers tell.
"""
