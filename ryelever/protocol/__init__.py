"""Definitions, encoders and decoders of messages, without network access."""
