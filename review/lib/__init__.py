"""Stand-ins and helpers of the review cases; they need the standard library only."""
