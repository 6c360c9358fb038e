"""Run the command line as a module."""

from yuccavalve.cli import main

if __name__ == '__main__':
    main()
