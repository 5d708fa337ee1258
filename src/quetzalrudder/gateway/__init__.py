"""The gateway: sessions of callers before groups of databases, without a network.

Everything that is decided about a statement, a primary or a limit is decided here; sockets
and the names of a platform are behind :mod:`~quetzalrudder.gateway.statements` and
:mod:`~quetzalrudder.gateway.store`.
"""

from quetzalrudder.gateway.catalog import (
    Catalog,
    Consistency,
    CurrentCatalog,
    GroupSettings,
    Route,
    Workspace,
)
from quetzalrudder.gateway.instance import GatewayInstance, InstanceIdentity
from quetzalrudder.gateway.mirror import PrefixHandler
from quetzalrudder.gateway.quotas import QuotaRules
from quetzalrudder.gateway.sessions import Answer, ProxySession
from quetzalrudder.gateway.targets import LogPosition, Target, TargetRole

__all__ = [
    "Answer",
    "Catalog",
    "CurrentCatalog",
    "Consistency",
    "GatewayInstance",
    "GroupSettings",
    "InstanceIdentity",
    "LogPosition",
    "PrefixHandler",
    "ProxySession",
    "QuotaRules",
    "Route",
    "Target",
    "TargetRole",
    "Workspace",
]
