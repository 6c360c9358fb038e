"""Builders, fakes and models that several tests share."""
