"""Time to find the account of a key, by the number of accounts.

Without a network: the look-up alone, and all that is checked of a key when a
request is read and passed on.
"""

import itertools
from typing import Any

from bench.decisions import NOW, micros
from turmericmast.account.account import Account
from turmericmast.account.table import AccountTable
from turmericmast.edge.freshness import Freshness
from turmericmast.edge.keyadmission import KeyAdmission
from turmericmast.edge.keyfence import KeyFence
from turmericmast.ids import ApiKey, Seconds, TenantId

SIZES = (77, 100_000)
"""Accounts that are measured, each with two keys."""
BOUND = Seconds(5)


def measure() -> list[dict[str, Any]]:
    """Return a row of microseconds for each size."""
    return [_measure(size) for size in SIZES]


def _measure(size: int) -> dict[str, Any]:
    accounts = [_account(number) for number in range(size)]
    table = AccountTable(accounts)
    fence = KeyFence(BOUND, Freshness())
    fence.freshness.record_proof(NOW, Seconds(0), NOW)
    keys = itertools.cycle(
        [ApiKey(f'key-{number}-b') for number in range(0, size, 7)]
    )

    def check() -> None:  # noqa: WPS430
        key = next(keys)
        account = table.find((key,))
        if account and fence.admits(NOW):
            KeyAdmission(fence, account, key, NOW).find_obstacle(NOW, table)

    return {
        'accounts': size,
        'find_us': micros(lambda: table.find((next(keys),))),
        'unknown_us': micros(lambda: table.find((ApiKey('x'),))),
        'check_us': micros(check),
        'build_us': micros(lambda: AccountTable(accounts)),
    }


def _account(number: int) -> Account:
    keys = frozenset(ApiKey(f'key-{number}-{letter}') for letter in 'ab')
    return Account(TenantId(f'account-{number}'), keys)
