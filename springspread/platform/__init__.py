"""Encodes and decodes the exchanges with clients, endpoints, discovery and the platform. No sockets here."""
