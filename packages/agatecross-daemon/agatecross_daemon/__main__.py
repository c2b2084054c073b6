"""Runs `agatecrossd` as a module."""

from .main import run

if __name__ == "__main__":
    run()
