"""Platform: names, formats and calls of the platform that gentianworks runs on.

Nothing here decides; each message is decoded once into the project's own types.
"""

from __future__ import annotations
