"""Benchmarks and long-running checks that are not part of CI."""
