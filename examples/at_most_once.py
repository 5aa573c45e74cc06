"""At-most-once execution: how an idempotency key's home entry handles resends.

The first copy of a request runs, a copy sent meanwhile joins it, and a later copy gets
the stored response. A new key of an expired lease is rejected.
"""

from boragegw import decisions

table = decisions.KeyTable(retention=60.0)
lease = decisions.Lease(incarnation=7, address="10.0.0.1:90", issued=0.0, expires=10.0)

first = table.admit("lease.return-1", lease, wall=1.0)
print(f"first copy: {first.kind.value}")
print(f"resend while it runs: {table.admit('lease.return-1', lease, 2.0).kind.value}")
table.finish(first.record, decisions.StoredResponse(200, (), b"filed"))
print(f"resend afterwards: {table.admit('lease.return-1', lease, 3.0).kind.value}")
late = table.admit("lease.return-2", lease, wall=11.0)
print(f"a new key of an expired lease: {late.error.code}, {late.error.verdict}")
