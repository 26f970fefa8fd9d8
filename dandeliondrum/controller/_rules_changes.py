"""Compare-and-set of the rules file, with deduplication of resends."""

from returns import result

from dandeliondrum.controller import _records
from dandeliondrum import messages
from dandeliondrum import rules as rules_lib
from dandeliondrum import utils

OUTCOMES_KEPT = 1_000
HISTORY_KEPT = 200


def apply_change(
    record: _records.RulesRecord, command: messages.ApplyRules
) -> tuple[_records.RulesRecord, messages.RulesOutcome]:
    """Return the record after a change and the outcome for its operator.

    A change whose id is among the kept outcomes gets its first outcome
    again and is not applied a second time.
    """
    for change_id, accepted, version, detail in record.outcomes:
        if change_id == command.change_id:
            earlier = messages.RulesOutcome(accepted, version, detail)
            return record, earlier
    outcome = _check_change(record, command)
    outcomes = (
        *record.outcomes[-OUTCOMES_KEPT + 1 :],
        (
            command.change_id,
            outcome.accepted,
            outcome.version,
            outcome.detail,
        ),
    )
    if not outcome.accepted:
        refused = _records.RulesRecord(
            record.version, record.text, record.history, outcomes
        )
        return refused, outcome
    entry = messages.RulesChange(
        outcome.version,
        command.operator_id,
        command.cell_time_ms,
        command.change_id,
    )
    history = (*record.history[-HISTORY_KEPT + 1 :], entry)
    changed = _records.RulesRecord(
        outcome.version, command.text, history, outcomes
    )
    return changed, outcome


def parse_accepted(text: str) -> rules_lib.RuleSet:
    """Parse a rules text that has been accepted before.

    Raises InvariantError if it can no longer be parsed.
    """
    match rules_lib.parse(text):
        case result.Success(rule_set):
            return rule_set
        case _:
            raise utils.InvariantError(
                'accepted rules can no longer be parsed'
            )


def _check_change(
    record: _records.RulesRecord, command: messages.ApplyRules
) -> messages.RulesOutcome:
    if command.expected_version != record.version:
        last_operator = (
            record.history[-1].operator_id if record.history else 'nobody'
        )
        return messages.RulesOutcome(
            False,
            record.version,
            f'version {command.expected_version} was expected, but '
            f'{record.version} is in force, by {last_operator}',
            record.text,
        )
    match rules_lib.parse(command.text):
        case result.Failure(problems):
            first = problems[0]
            return messages.RulesOutcome(
                False,
                record.version,
                f'line {first.line}, column {first.column}: {first.detail}',
            )
    return messages.RulesOutcome(
        True, messages.RulesVersion(record.version + 1)
    )
