"""Data types that the processes share: messages, jobs, documents, settings."""
