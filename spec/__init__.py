"""Formal specifications, model-checked exhaustively at small bounds."""
