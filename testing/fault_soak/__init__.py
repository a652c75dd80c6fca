"""Randomized fault soak of gateway processes; see docs/fault-soak.md."""
