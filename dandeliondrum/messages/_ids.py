"""Types of identifiers, so that a type checker tells them apart."""

import typing

TaskId = typing.NewType('TaskId', str)
AttemptId = typing.NewType('AttemptId', str)
WorkerId = typing.NewType('WorkerId', str)
GatewayId = typing.NewType('GatewayId', str)
ControllerId = typing.NewType('ControllerId', str)
TeamId = typing.NewType('TeamId', str)
OperatorId = typing.NewType('OperatorId', str)
GangId = typing.NewType('GangId', str)
QueueName = typing.NewType('QueueName', str)
Region = typing.NewType('Region', str)
FailureDomain = typing.NewType('FailureDomain', str)
Rack = typing.NewType('Rack', str)
Incarnation = typing.NewType('Incarnation', str)
CellId = typing.NewType('CellId', str)

Term = typing.NewType('Term', int)
LogIndex = typing.NewType('LogIndex', int)
RulesVersion = typing.NewType('RulesVersion', int)

# Strictly increasing within a cell. A worker refuses a start whose token is
# not higher than all tokens that it has seen for the same task.
FencingToken = typing.NewType('FencingToken', int)
