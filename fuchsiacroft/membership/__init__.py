"""Who is there: entries and backend servers."""
