"""Entry point of ``python -m dandeliondrum.command``."""

from dandeliondrum import command

if __name__ == '__main__':
    command.main()
