"""Platform: message formats and HTTP interfaces of the platform.

The package only translates: each message is decoded once into types of the core, which
makes the decisions.
"""

from __future__ import annotations
