"""What each daemon may send to each server: shares, holders, gates, cold starts."""
