"""State that must survive: consensus, configuration, ledger, orders."""
