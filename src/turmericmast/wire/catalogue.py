"""Every message and record that has a place in a ``Body``."""

import typing

from turmericmast.balance import news
from turmericmast.cluster import commands as cluster_commands
from turmericmast.cluster import records as cluster_records
from turmericmast.ledger import commands as ledger_commands
from turmericmast.ledger import ledger
from turmericmast.region import commands as region_commands
from turmericmast.region import snapshot as region_snapshot
from turmericmast.replica import messages, store
from turmericmast.wire import requests

MESSAGES: tuple[type, ...] = (
    *typing.get_args(messages.Message),
    *typing.get_args(region_commands.RegionCommand),
    *typing.get_args(ledger_commands.LedgerCommand),
    requests.Renew,
    requests.Granted,
    requests.Watch,
    requests.ChangeRegion,
    requests.Changed,
    requests.ChangeLedger,
    requests.Follow,
    requests.Followed,
    requests.Refusal,
    requests.NotNow,
    ledger.Standing,
    messages.Entry,
    messages.Snapshot,
    store.Vote,
    store.CommitMark,
    region_snapshot.RegionSnapshot,
    ledger.LedgerSnapshot,
    *typing.get_args(cluster_commands.ClusterCommand),
    cluster_records.ClusterSnapshot,
    requests.Conflict,
    requests.ChangeCluster,
    requests.WatchCluster,
    requests.WatchedCluster,
    requests.Heard,
    requests.AskIndex,
    requests.TellIndex,
    news.LoadNews,
)
