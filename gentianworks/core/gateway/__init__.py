"""Gateway: routes calls by host and path to the replicas of services.

A gateway needs no agent on the host of a replica. It discovers replicas from a list,
counts its own calls in flight and corrects that count by the load that replicas
report in their answers.
"""

from __future__ import annotations
