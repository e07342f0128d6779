"""Limits the claims written by an instance to its share of the fleet's rate."""

import time

from kumquatsaddle.buckets import TokenBucket

__all__ = ["make_claim_bucket", "set_claim_rate"]

# Claims of all instances together; each claim is two writes to a table that accepts
# several hundred a second. Every instance gets an equal share and a burst.
_FLEET_CLAIMS_PER_SECOND = 100.0
_CLAIM_BURST = 5.0


def make_claim_bucket():
    """Return a `TokenBucket` with the whole rate, for the only instance of a fleet."""
    return TokenBucket(_FLEET_CLAIMS_PER_SECOND, _CLAIM_BURST, time.monotonic())


def set_claim_rate(bucket, instances):
    """Set the rate of a bucket to an equal share of the fleet's rate.

    Parameters
    ----------
    bucket : TokenBucket
    instances : int
        Instances in the member table, this one included.
    """
    bucket.rate = _FLEET_CLAIMS_PER_SECOND / instances
