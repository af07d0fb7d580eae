"""The tests, in folders that mirror the package."""
