"""Service documents shared by the features."""

VALID_DOCUMENT = """\
service: depot
owner: Depot
failure_domains: [mtl-a]
queries:
  hedge_policy: quantile
indexes:
  stock:
    shards:
      - replicas: [ds-0, ds-1]
orders:
  refill: {servers: [ds-0], deadline_ms: 3000}
upstream_classes:
  small: {slots: 2, connections: 10}
servers:
  ds-0: {class: small, address: "10.0.0.0:80", failure_domain: mtl-a, region: mtl}
  ds-1: {class: small, address: "10.0.0.1:80", failure_domain: mtl-a, region: mtl}
"""
