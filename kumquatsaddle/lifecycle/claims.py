"""The share of an instance in the claims that the whole fleet may write."""

import time

from kumquatsaddle.admission.limits import TokenBucket

__all__ = ["make_claim_bucket", "share_claims"]

# Claims a second over the whole fleet; each is two writes to a table that takes
# several hundred a second. Every instance has an equal share and a burst.
_CLAIM_RATE = 100.0
_CLAIM_BURST = 5.0


def make_claim_bucket():
    """Return the `TokenBucket` of claims of an instance that knows no other."""
    return TokenBucket(_CLAIM_RATE, _CLAIM_BURST, time.monotonic())


def share_claims(bucket, instances):
    """Set the rate of a bucket to an equal share.

    Parameters
    ----------
    bucket : TokenBucket
    instances : int
        Instances in the member table, this one included.
    """
    bucket.rate = _CLAIM_RATE / instances
