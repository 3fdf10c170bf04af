"""The asyncio shells that run the cores."""
