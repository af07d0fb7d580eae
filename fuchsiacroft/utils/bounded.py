"""Dictionaries that hold a bounded number of entries."""


def set_newest(entries: dict, key: object, value: object, most: int) -> None:
    """Set an entry as the newest, and drop the oldest ones beyond `most`."""
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > most:
        del entries[next(iter(entries))]
