"""Updates the tables of parameters in a documentation page."""

import pathlib
import sys

from dandeliondrum.settings import _tables


def main() -> None:
    """Update the page whose path is the first argument."""
    page = pathlib.Path(sys.argv[1])
    page.write_text(_tables.update_page(page.read_text()))


if __name__ == '__main__':
    main()
