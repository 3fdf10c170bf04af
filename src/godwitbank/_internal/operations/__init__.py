"""Processes: asyncio I/O, signal handling and timers around the sans-I/O cores."""
