"""Settings and documents as the platform writes them."""

import json

SETTINGS = {
    'Node': 'core-sattahip-1',
    'Role': 'controller',
    'Ip': '10.1.0.19',
    'Zone': 'sattahip',
    'Region': 'gulf',
    'PortRange': '7420,7435',
    'Seeds': '10.3.0.39:8180,10.1.0.19:8180,10.2.0.17:8180',
    'Bootstrap': 'true',
    'DataDir': '/data/controller',
    'Listen.Control': '10.1.0.19:8180',
    'FaultTolerance.Machines': '2',
    'Bounds.GraceS': '6',
    'Bounds.HoldMaxMs': '6000',
    'Bounds.status_s': '120',
    'PlacementAdvisor': '10.200.1.9:8182',
    'Something.New': 'ignored',
}


def lines(values):
    return [f'{name}={value}' for name, value in values.items()]


def route(name='r1', **more):
    return {
        'Name': name,
        'Host': 'nony24.example',
        'PathPrefix': f'/{name}/',
        'Type': 'non_idempotent',
        'TimeoutMs': 3_000,
        'TargetLatencyMs': 500,
        'Priority': 1,
        'Service': 'pool',
        'MaxAttempts': 3,
        'Stretch': 2.2,
        'Public': False,
        **more,
    }


def tenant(name='kaje80', keys=('k1',)):
    cap = {'Cpu': 0, 'MemMb': 0, 'Gpu': 0}
    return {'Name': name, 'ApiKeys': list(keys), 'Weight': 14, 'Cap': cap}


def document(version=1, **more):
    fields = {
        'Version': version,
        'Routes': [route()],
        'Services': [{'Name': 'pool'}],
        'Limits': {},
        'Tenants': [tenant()],
        **more,
    }
    return json.dumps(fields).encode()
