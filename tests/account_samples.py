"""Sample accounts in the format of the platform."""

import copy
from typing import Any

from tests.platform_samples import ROUTES, encoded
from turmericmast.platform.documents import DocumentFormat
from turmericmast.route.document import RouteDocument

ACCOUNTS = {
    'farm': {
        'api_keys': ['key-farm', 'key-farm-2'],
        'priority': 1,
        'rate_per_s': 146,
        'burst': 146,
        'allowed_regions': ['tirol'],
    },
    'press': {'api_keys': ['key-press']},
}


def tree_with_accounts(accounts: Any = ACCOUNTS) -> Any:
    """Return the sample routes with accounts; 'order' is public."""
    tree: Any = copy.deepcopy(ROUTES)
    tree['tenants'] = copy.deepcopy(accounts)
    tree['routes']['order']['public'] = True
    return tree


def document_with_accounts(accounts: Any = ACCOUNTS) -> RouteDocument:
    """Return the sample routes with accounts, as they are parsed."""
    return (
        DocumentFormat().parse(encoded(tree_with_accounts(accounts))).unwrap()
    )
