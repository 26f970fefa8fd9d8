"""The operators' rules file: teams, keys, queues, workers and defaults.

A rules file is plain text. Each line holds one rule as a JSON object,
followed by a comment that names who asked for the rule; lines may also be
blank or hold only a comment. A file with any problem is rejected as a whole.

Example::

    {"rule": "team", "team": "harbour", "share": 3}  // asked by S. Prasert
"""

from dandeliondrum.rules._authorize import authorize
from dandeliondrum.rules._authorize import team_for
from dandeliondrum.rules._keys import add_line
from dandeliondrum.rules._keys import new_key
from dandeliondrum.rules._keys import NewKey
from dandeliondrum.rules._keys import remove_key
from dandeliondrum.rules._model import Defaults
from dandeliondrum.rules._model import EMPTY
from dandeliondrum.rules._model import KeyRule
from dandeliondrum.rules._model import QueueRule
from dandeliondrum.rules._model import Rule
from dandeliondrum.rules._model import RuleSet
from dandeliondrum.rules._model import RulesProblem
from dandeliondrum.rules._model import TeamRule
from dandeliondrum.rules._model import UNLIMITED
from dandeliondrum.rules._model import WorkerRule
from dandeliondrum.rules._parse import find_lines
from dandeliondrum.rules._parse import parse
from dandeliondrum.rules._review import compare
from dandeliondrum.rules._review import find_doubts
from dandeliondrum.rules._review import RulesDoubt

__all__ = [
    'Defaults',
    'EMPTY',
    'KeyRule',
    'NewKey',
    'QueueRule',
    'Rule',
    'RuleSet',
    'RulesDoubt',
    'RulesProblem',
    'TeamRule',
    'UNLIMITED',
    'WorkerRule',
    'add_line',
    'authorize',
    'compare',
    'find_doubts',
    'find_lines',
    'new_key',
    'parse',
    'remove_key',
    'team_for',
]
