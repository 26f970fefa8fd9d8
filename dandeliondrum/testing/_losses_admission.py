"""How long new controllers, and those with new disks, take to be voters."""

import collections.abc
import dataclasses
import datetime
import itertools
import typing

Entry = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Launch:
    """The start of a controller with an empty disk, in seconds of the day."""

    controller: str
    why: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class Admission:
    """How long after its launch a controller had started, and voted.

    ``asked_s`` is when the leader took up its request to join. The values are
    None if that is not in the logs.
    """

    launch: Launch
    started_s: float | None
    asked_s: float | None
    voter_s: float | None


def read_admissions(
    launches: collections.abc.Iterable[Launch],
    logs: collections.abc.Mapping[str, list[Entry]],
) -> collections.abc.Iterator[Admission]:
    """Read the admissions from the logs of all controllers."""
    entries = sorted(itertools.chain.from_iterable(logs.values()), key=_time_s)
    for launch in launches:
        yield _admission(launch, logs[launch.controller], entries)


def describe(admission: Admission) -> str:
    """Return a line on the admission of a controller."""
    launch = admission.launch
    return (
        f'{launch.controller} ({launch.why}): started '
        f'{after(admission.started_s)}, taken up '
        f'{after(admission.asked_s)}, voter {after(admission.voter_s)}'
    )


def _time_s(entry: Entry) -> float:
    """Return when a line was logged, in seconds of the day."""
    return datetime.datetime.fromisoformat(entry['time']).timestamp()


def _admission(
    launch: Launch,
    own: list[Entry],
    entries: list[Entry],
) -> Admission:
    """Read the admission of a controller from the logs."""
    ip = launch.controller[1:]

    def first(
        candidates: collections.abc.Iterable[Entry],
        *events: str,
    ) -> float | None:
        for entry in candidates:
            about = (
                entry.get('controller'),
                entry.get('member'),
                entry.get('successor'),
            )
            is_about = entry['event'] == 'started' or ip in about
            passed_s = _time_s(entry) - launch.at_s
            if entry['event'] in events and is_about and passed_s >= 0:
                return passed_s
        return None

    return Admission(
        launch,
        first(own, 'started'),
        first(entries, 'adding controller', 'voter readmitted as learner'),
        _voter_s(launch, ip, entries),
    )


def _voter_s(launch: Launch, ip: str, entries: list[Entry]) -> float | None:
    """Return how long after its launch a controller became a voter.

    A controller that lost its disk was a voter before, and is a learner
    first.
    """
    changes = [one for one in entries if one['event'] == 'membership changed']
    known_index = max(
        (one['index'] for one in changes if _time_s(one) < launch.at_s),
        default=0,
    )
    learner_index = None
    for change in changes:
        if change['index'] <= known_index:
            continue
        if ip in change['learners'] and learner_index is None:
            learner_index = change['index']
        if (
            ip in change['voters']
            and learner_index is not None
            and change['index'] > learner_index
        ):
            return _time_s(change) - launch.at_s
    return None


def after(time_s: float | None) -> str:
    """Return after which time something was seen, as text."""
    return 'not seen' if time_s is None else f'after {time_s:.2f} s'
