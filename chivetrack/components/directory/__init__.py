"""The configuration in force, in the form in which the pipeline reads it."""
