"""Membership, registration and the choice of peers."""
