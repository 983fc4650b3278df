"""Limits on what each daemon may send to each server.

Shares, their holders, admission to servers, and cold starts.
"""
