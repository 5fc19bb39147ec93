"""Commands that measure; nothing here asserts a speed."""
