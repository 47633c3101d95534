"""Sample documents in the formats of the platform."""

import copy
import json
from typing import Any

ROUTES = {
    'version': '00000007',
    'base_version': '00000005',
    'routes': {
        'look': {
            'host': 'shop.example',
            'path_prefix': '/stock/',
            'kind': 'safe',
            'timeout_s': 1.2,
            'target_latency_s': 0.25,
            'priority': 2,
            'traffic_split': [
                {'service': 'stock', 'weight': 90},
                {'service': 'stock-next', 'weight': 10},
            ],
            'max_attempts': 2,
            'allowed_regions': [],
        },
        'order': {
            'host': 'pay.example',
            'path_prefix': '/orders/',
            'kind': 'unsafe',
            'timeout_s': 0.8,
            'target_latency_s': 0.3,
            'priority': 1,
            'service': 'orders',
            'max_attempts': 2,
            'allowed_regions': ['tirol', 'kaernten'],
        },
    },
    'services': {
        name: {
            'health_path': '/health',
            'max_connections': 280,
            'protocol': 'h1',
            'tls': False,
            'warmup_s': 3.0,
            'warmup_per_s': 13.0,
        }
        for name in ('stock', 'stock-next', 'orders')
    },
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    },
}

REPORT = {
    'address': '10.128.0.9:8080',
    'info': {
        'service': 'stock',
        'version': 'v1',
        'zone': 'tirol-a',
        'capacity': 4,
    },
    'status': {'state': 'ready', 'sequence': 4, 'warmup_left_s': 0},
    'born': 1_700_000_000_000,
}

SETTINGS = {
    'node_name': 'front-tirol-a-1',
    'role': 'edge',
    'ip': '10.1.0.34',
    'zone': 'tirol-a',
    'region': 'tirol',
    'zones': {'tirol-a': 'tirol', 'wien-a': 'wien'},
    'listen': {
        'front': '10.1.0.34:8548',
        'ready_address': '10.1.0.34:8542',
        'directory': '10.1.0.34:8546',
    },
    'port_range': [7540, 7555],
    'seeds': ['10.1.0.34:8544', '10.2.0.34:8544'],
    'bootstrap': True,
    'data_dir': None,
    'heartbeat_interval_s': 1.5,
    'bounds': {'grace_s': 6, 'retry_budget_ratio': 0.2},
    'unknown_field': {'unknown': True},
}


def changed(sample: Any, path: str, to: Any) -> Any:
    """Return a copy in which the field at a dotted path has another value."""
    tree = copy.deepcopy(sample)
    *parents, last = path.split('.')
    place = tree
    for name in parents:
        place = place[name]
    place[last] = to
    return tree


def without(sample: Any, path: str) -> Any:
    """Return a copy without the field at a dotted path."""
    tree = changed(sample, path, None)
    *parents, last = path.split('.')
    place = tree
    for name in parents:
        place = place[name]
    place.pop(last)
    return tree


def encoded(tree: Any) -> bytes:
    """Return a document as JSON octets."""
    return json.dumps(tree).encode()
