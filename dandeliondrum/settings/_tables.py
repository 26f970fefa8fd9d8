"""Generates the tables of parameters in the documentation."""

from dandeliondrum.settings import _controller
from dandeliondrum.settings import _gateway
from dandeliondrum.settings import _parameters
from dandeliondrum.settings import _worker

BEGIN = '<!-- settings: made by "python -m dandeliondrum.settings FILE" -->'
END = '<!-- settings end -->'

_TITLES = (
    ('Controller', _controller.ControllerSettings),
    ('Gateway', _gateway.GatewaySettings),
    ('Worker (stand-in)', _worker.WorkerSettings),
)


def markdown() -> str:
    """Return a Markdown section with a table for each role."""
    return '\n\n'.join(_section(title, kind) for title, kind in _TITLES)


def update_page(page: str) -> str:
    """Return a page with the section between its two markers replaced.

    Raises ValueError if the page lacks a marker.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise ValueError(f'the page lacks {BEGIN} or {END}')
    return f'{before}{BEGIN}\n\n{markdown()}\n\n{END}{after}'


def _section(title: str, kind: type) -> str:
    rows = [_row(item) for item in _parameters.parameters(kind)]
    head = '| field | meaning | allowed | default |\n|---|---|---|---|'
    return '\n'.join([f'### {title}', '', head, *rows])


def _row(item: _parameters.Parameter) -> str:
    default = 'required' if item.required else _format_default(item.default)
    allowed = _parameters.describe_allowed(item.allowed)
    if isinstance(item.allowed, _parameters.Name):
        allowed = 'a name'
    return f'| `{item.name}` | {item.meaning} | {allowed} | {default} |'


def _format_default(value: object) -> str:
    match value:
        case bool():
            return str(value).lower()
        case '':
            return 'none'
    return f'`{value}`'
