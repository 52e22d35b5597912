"""Plugins of all tests."""

pytest_plugins = ["pytester", "tests.known_red"]
