"""Test the encoders and decoders of ``ryelever.protocol``."""
