"""Small stand-ins for what stands outside the project; never shipped."""
