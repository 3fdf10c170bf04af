"""The HTTP faces of entry and agent."""
