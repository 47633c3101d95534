"""Look-up of client accounts by key."""

import collections
import itertools
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import final

from turmericmast.account.account import Account
from turmericmast.ids import ApiKey, RegionId, TenantId


@final
class AccountTable:
    """The accounts of one version of the configuration."""

    def __init__(self, accounts: Iterable[Account]) -> None:
        """Index the accounts by name and by key."""
        self.account_by_name: Mapping[TenantId, Account] = {
            account.account: account for account in accounts
        }
        self._account_by_key: Mapping[ApiKey, Account] = {
            key: account
            for account in self.account_by_name.values()
            for key in account.keys
        }

    def find(self, keys: tuple[ApiKey, ...]) -> Account | None:
        """Return the account of a request with these keys.

        ``None`` unless there is exactly one key and an account has it.
        """
        if len(keys) != 1:
            return None
        return self._account_by_key.get(keys[0])

    def find_faults(self) -> Iterator[str]:
        """Yield what is wrong with the accounts; keys are not repeated."""
        for account in self.account_by_name.values():
            yield from (
                f'accounts.{account.account}.{fault}'
                for fault in account.find_faults()
            )
        yield from self._find_shared_keys()

    def find_unknown_regions(
        self, known: Collection[RegionId]
    ) -> Iterator[str]:
        """Yield which accounts have home regions that do not exist.

        ``known`` are the regions of the deployment.
        """
        choices = ', '.join(sorted(known))
        yield from (
            f'accounts.{account.account}.home_regions: there is no region '
            f'{region!r}; use any of {choices}'
            for account in self.account_by_name.values()
            for region in sorted(account.home_regions.difference(known))
        )

    def _find_shared_keys(self) -> Iterator[str]:
        names_by_key = collections.defaultdict(list)
        for account in self.account_by_name.values():
            for key in account.keys:
                names_by_key[key].append(account.account)
        shared = (names for names in names_by_key.values() if len(names) > 1)
        yield from itertools.chain.from_iterable(
            (
                f'accounts.{name}.keys: a key is also that of account '
                f'{names[0]!r}; give each account its own keys'
                for name in names[1:]
            )
            for names in shared
        )
