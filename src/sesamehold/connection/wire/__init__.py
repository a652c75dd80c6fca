"""Generated messages and services of the protocol between hosts."""
