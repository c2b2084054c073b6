"""The pipeline that compiles configuration documents, and the fold over the config stream."""
