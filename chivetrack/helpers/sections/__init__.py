"""Settings files in sections: their models' base, and one reader for all programs."""
