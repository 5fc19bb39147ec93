"""Settings files with sections: base classes of the models, and readers for all programs."""
