"""Tests, stand-ins and measurements of hemlockspoke."""
