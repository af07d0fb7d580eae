"""Tests of the package `placing`."""
