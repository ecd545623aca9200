"""Test how requests that crash backend servers are found."""
