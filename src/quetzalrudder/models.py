"""Identifiers and states that several modules use."""

from enum import Enum
from typing import NewType

__all__ = [
    "DataCentre",
    "GroupId",
    "InstanceId",
    "InstanceState",
    "RequestId",
    "Revision",
    "RouteName",
    "TargetId",
    "Term",
    "WorkspaceId",
]

DataCentre = NewType("DataCentre", str)
GroupId = NewType("GroupId", str)
InstanceId = NewType("InstanceId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
RouteName = NewType("RouteName", str)
TargetId = NewType("TargetId", str)
Term = NewType("Term", int)
WorkspaceId = NewType("WorkspaceId", str)


class InstanceState(Enum):
    """Lifecycle state of an instance."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"
