"""What is known of the endpoints: announcements, leases, health."""
