"""Decides which requests of callers start, wait or are refused at this daemon."""
