"""A settings file as the platform writes it."""

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
