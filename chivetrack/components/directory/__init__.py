"""Read access of the pipeline to the configuration in force."""
