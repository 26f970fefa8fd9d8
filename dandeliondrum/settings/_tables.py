"""Tables of the declared parameters, for the documentation."""

from dandeliondrum.settings import _controller
from dandeliondrum.settings import _declare
from dandeliondrum.settings import _gateway
from dandeliondrum.settings import _worker

BEGIN = '<!-- settings: made by "python -m dandeliondrum.settings FILE" -->'
END = '<!-- settings end -->'

_TITLES = (
    ('Controller', _controller.ControllerSettings),
    ('Gateway', _gateway.GatewaySettings),
    ('Worker (stand-in)', _worker.WorkerSettings),
)


def markdown() -> str:
    """Return a table for each role, in Markdown."""
    return '\n\n'.join(_section(title, kind) for title, kind in _TITLES)


def replaced(page: str) -> str:
    """Return a page with the tables anew between its two marks.

    Raises ValueError when the page does not have the marks.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise ValueError(f'the page lacks {BEGIN} or {END}')
    return f'{before}{BEGIN}\n\n{markdown()}\n\n{END}{after}'


def _section(title: str, kind: type) -> str:
    rows = [_row(item) for item in _declare.parameters(kind)]
    head = '| field | meaning | allowed | default |\n|---|---|---|---|'
    return '\n'.join([f'### {title}', '', head, *rows])


def _row(item: _declare.Parameter) -> str:
    default = 'required' if item.required else _default(item.default)
    allowed = _declare.described(item.allowed)
    if isinstance(item.allowed, _declare.Name):
        allowed = 'a name'
    return f'| `{item.name}` | {item.meaning} | {allowed} | {default} |'


def _default(value: object) -> str:
    match value:
        case bool():
            return str(value).lower()
        case '':
            return 'none'
    return f'`{value}`'
