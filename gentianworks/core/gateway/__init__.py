"""Gateway: routes calls by host and path to the replicas of services.

A gateway needs no agent beside a replica: it finds replicas in a list, keeps its own
count of their load and corrects it by what their answers tell.
"""

from __future__ import annotations
