"""Identifier types used throughout the core."""

from typing import NewType

__all__ = [
    "ClaimId",
    "EndpointId",
    "Incarnation",
    "JobId",
    "KeyId",
    "NodeId",
    "OperatorId",
    "PoolId",
    "QueueId",
    "Rack",
    "RecordId",
    "Region",
    "RequestId",
    "Revision",
    "TaskId",
    "TeamId",
    "VmId",
    "WaveId",
    "Zone",
]

NodeId = NewType("NodeId", str)
Incarnation = NewType("Incarnation", int)
VmId = NewType("VmId", str)
PoolId = NewType("PoolId", str)
TeamId = NewType("TeamId", str)
KeyId = NewType("KeyId", str)
QueueId = NewType("QueueId", str)
WaveId = NewType("WaveId", str)
OperatorId = NewType("OperatorId", str)
RecordId = NewType("RecordId", str)
RequestId = NewType("RequestId", str)
TaskId = NewType("TaskId", str)
ClaimId = NewType("ClaimId", str)
JobId = NewType("JobId", str)
EndpointId = NewType("EndpointId", str)
Region = NewType("Region", str)
Zone = NewType("Zone", str)
Rack = NewType("Rack", str)
Revision = NewType("Revision", int)
