"""What all tests run with."""

pytest_plugins = ["pytester", "tests.known_red"]
