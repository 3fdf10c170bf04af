"""HTTP interfaces of the entry and the agent."""
