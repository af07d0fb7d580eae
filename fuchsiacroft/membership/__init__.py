"""Entries of a failure domain: who is alive, and who owns which backend server."""
