"""The gateway: sessions of callers in front of database groups, without network code.

All decisions about statements, primaries and limits are made here. Sockets and the
platform's names are behind the interfaces in :mod:`~quetzalrudder.gateway.statements` and
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
from quetzalrudder.gateway.data_centre_exit import CrossingPrice
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
    "CrossingPrice",
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
