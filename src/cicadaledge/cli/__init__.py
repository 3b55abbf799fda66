"""Command line."""

from cicadaledge.cli._app import app, main

__all__ = ["app", "main"]
