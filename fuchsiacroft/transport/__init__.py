"""Messaging between the processes of the system."""
