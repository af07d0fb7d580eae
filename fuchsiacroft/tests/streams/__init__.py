"""Tests of what is known of streams' origins."""
