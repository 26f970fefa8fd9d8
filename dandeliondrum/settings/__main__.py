"""Writes the tables of parameters into a page of the documentation."""

import pathlib
import sys

from dandeliondrum.settings import _tables


def main() -> None:
    """Bring the page that is named on the command line up to date."""
    page = pathlib.Path(sys.argv[1])
    page.write_text(_tables.replaced(page.read_text()))


if __name__ == '__main__':
    main()
