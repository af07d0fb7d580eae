"""Membership of a failure domain and ownership of its backend servers."""
