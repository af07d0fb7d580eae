"""The control plane's durable state: consensus, configuration, ledger and orders."""
