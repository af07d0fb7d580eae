"""Tests of stories told from logs."""
