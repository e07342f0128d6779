"""Execution of operations at most once, by the ledger of this incarnation."""

from hashlib import blake2b

__all__ = ["fingerprint_request", "run_operation"]


async def run_operation(node, router, request):
    """Run a request at most once for its operation id, which this instance issued.

    Parameters
    ----------
    node : Node
    router : Router
    request : Request

    Returns
    -------
    Answer

    Raises
    ------
    RefusedError
        If this instance did not issue the operation id.
    """
    return await node.ledger.run_once(
        request.operation,
        node.issuer.read_issue_time(request.operation),
        fingerprint_request(request),
        lambda: router.dispatch(request),
    )


def fingerprint_request(request):
    """Return a digest of the parts of a request that a retry of it must not change."""
    digest = blake2b(digest_size=16)
    for part in (request.method, request.target, request.account):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()
