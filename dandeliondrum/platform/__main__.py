"""Entry point for a role: ``python3 -m dandeliondrum.platform ROLE``."""

import contextlib
import sys

from returns import result

from dandeliondrum import observability
from dandeliondrum.platform import _programs
from dandeliondrum.platform import _settings


def main(arguments: list[str]) -> int:
    """Run the role given as the only argument and return the exit code."""
    if len(arguments) != 1:
        sys.stderr.write('usage: dandeliondrum.platform gateway|controller\n')
        return 2
    role = arguments[0]
    match _settings.load(_settings.find_path()):
        case result.Success(settings):
            with contextlib.ExitStack() as resources:
                stream = observability.BoundedStream(sys.stdout)
                stream.start()
                resources.callback(stream.close)
                observability.configure_logging(
                    role, settings.vm_name, 'info', stream
                )
                return _programs.run(role, settings)
        case result.Failure(error):
            sys.stderr.write(f'settings: {error}\n')
    return 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
