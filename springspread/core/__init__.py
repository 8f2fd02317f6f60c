"""The sender's loop, message table and journal; independent of the client API."""
