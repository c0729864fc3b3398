"""Specifications of the hard mechanisms, checked exhaustively at small bounds."""
