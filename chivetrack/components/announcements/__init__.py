"""What endpoints say of themselves, and which of two statements is the newer one."""
