"""Registry of the classes that a ``Body`` can hold.

A class is imported when the process first receives a message of it, so that a
program does not load modules at start that only another program uses.
"""

import functools
import importlib
from collections.abc import Mapping
from types import MappingProxyType

NAMES_BY_MODULE: Mapping[str, tuple[str, ...]] = MappingProxyType(
    {
        'replica.messages': (
            'Probe',
            'Join',
            'VoteRequest',
            'HandOver',
            'VoteReply',
            'Append',
            'Install',
            'AppendReply',
            'Entry',
            'Snapshot',
        ),
        'region.commands': (
            'OpenSession',
            'LeaveSession',
            'CloseSession',
            'PlaceTarget',
            'ReleaseTarget',
            'WithdrawTarget',
            'SetOutage',
            'ProposeFleet',
            'AdoptFleet',
            'ReportRegion',
            'Suspect',
            'Acquit',
            'LiftQuarantine',
            'NoteSummary',
        ),
        'ledger.commands': (
            'Begin',
            'Settle',
            'GiveUp',
            'Purge',
        ),
        'ledger.ledger': (
            'Standing',
            'LedgerSnapshot',
        ),
        'replica.store': (
            'Vote',
            'CommitMark',
        ),
        'region.snapshot': ('RegionSnapshot',),
        'cluster.commands': (
            'ReportTarget',
            'RemoveTargets',
            'ProposeRoutes',
            'SetEvacuation',
            'SetEdge',
            'DropEdges',
            'OrderRollout',
            'DecideRollout',
        ),
        'cluster.crashes': ('ReportCrash',),
        'cluster.records': (
            'ClusterFeed',
            'ClusterSnapshot',
        ),
        'balance.news': ('LoadNews',),
        'wire.requests': (
            'Renew',
            'Granted',
            'Watch',
            'ChangeRegion',
            'Changed',
            'ChangeLedger',
            'Follow',
            'Followed',
        ),
        'wire.clusterrequests': (
            'ChangeCluster',
            'Heard',
            'AskIndex',
            'HeardEvidence',
        ),
        'wire.watchrequests': (
            'WatchCluster',
            'WatchedCluster',
            'PackedCluster',
            'AskMember',
            'TellMember',
            'TellIndex',
            'AskTokens',
            'TellTokens',
        ),
        'wire.replies': (
            'Refusal',
            'NotNow',
            'Conflict',
            'Overtaken',
        ),
    },
)
"""Names of message classes by the module that defines them."""


@functools.cache
def find_class(name: str) -> type:
    """Import and return the class ``name``.

    Raises ``LookupError`` if no module in the registry defines it.
    """
    module = _module_by_name()[name]
    message_class: type = getattr(importlib.import_module(module), name)
    return message_class


@functools.cache
def _module_by_name() -> Mapping[str, str]:
    return {
        name: f'turmericmast.{module}'
        for module, names in NAMES_BY_MODULE.items()
        for name in names
    }
