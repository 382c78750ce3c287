"""Evacuations: availability zones whose replicas and endpoints get no new calls."""
