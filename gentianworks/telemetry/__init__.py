"""Telemetry: the logs and metrics of a process."""
