"""Stand-ins and process control for the cases of the review.

Only the standard library is used, so that a case needs no build of its own.
"""
