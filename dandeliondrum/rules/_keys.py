"""Generates keys, and adds and removes them in a rules file.

A key is ``key_id.secret``. The rules file holds only the salted SHA-256 of
the secret, so reading the file does not reveal the key. One round of hashing
is enough because the secret is long and random.
"""

import dataclasses
import hashlib
import hmac
import json
import secrets

from returns import result

from dandeliondrum import messages
from dandeliondrum.rules import _line_parser
from dandeliondrum.rules import _model

KEY_ID_BYTES = 8
SALT_BYTES = 16
SECRET_BYTES = 32
UNNAMED = 'unnamed caller of new_key'


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """A key to give to its team, and the rule that makes it valid."""

    key_id: str
    text: str
    rule_line: str


def new_key(team_id: messages.TeamId, asked_by: str = UNNAMED) -> NewKey:
    """Generate a key for a team; its text is not stored anywhere else.

    Example::

        key = rules.new_key('harbour', 'S. Prasert, 2026-11-30')
        text = rules.add_line(text, key.rule_line)
    """
    key_id = secrets.token_hex(KEY_ID_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    fields = {
        'rule': 'key',
        'team': team_id,
        'key_id': key_id,
        'salt': salt,
        'digest': digest(salt, secret),
    }
    requester = ' '.join(asked_by.split())
    return NewKey(
        key_id=key_id,
        text=f'{key_id}.{secret}',
        rule_line=(
            f'{json.dumps(fields)}  {_line_parser.COMMENT} asked by '
            f'{requester}'
        ),
    )


def digest(salt: str, secret: str) -> str:
    """Return the salted SHA-256 of a secret in hexadecimal."""
    salted = bytes.fromhex(salt) + secret.encode(errors='surrogatepass')
    return hashlib.sha256(salted).hexdigest()


def matches(rule: _model.KeyRule, secret: str) -> bool:
    """Return whether the secret is that of the rule, in constant time."""
    return hmac.compare_digest(rule.digest, digest(rule.salt, secret))


def add_line(text: str, rule_line: str) -> str:
    """Return the text of a rules file with a line appended."""
    if text and not text.endswith('\n'):
        text += '\n'
    return f'{text}{rule_line}\n'


def remove_key(
    text: str, key_id: str
) -> result.Result[str, _model.RulesProblem]:
    """Return the text of a rules file without the rule of a key.

    Fails if no rule defines the key.
    """
    kept = []
    removed_count = 0
    for line in text.split('\n'):
        if _defines_key(line, key_id):
            removed_count += 1
        else:
            kept.append(line)
    if removed_count == 0:
        detail = f'no key "{key_id}" in the rules'
        return result.Failure(_model.RulesProblem(1, 1, detail))
    return result.Success('\n'.join(kept))


def _defines_key(line: str, key_id: str) -> bool:
    rule = _line_parser.read(line.rstrip('\r')).value_or(None)
    return isinstance(rule, _model.KeyRule) and rule.key_id == key_id
