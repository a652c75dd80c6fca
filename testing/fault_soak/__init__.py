"""Randomized fault-injection soak test of gateway processes; see docs/fault-soak.md."""
