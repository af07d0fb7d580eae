"""The path of a request: admission, dispatch, streams."""
