"""The HTTP gateway: routes requests by host and path to backend servers."""
