"""Admission control: rate and concurrency limits, fair shares and a bounded queue."""
