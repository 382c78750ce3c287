"""Placement: which replica a call is sent to, and from where it fetches its prompt."""
