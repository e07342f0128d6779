"""Runs an operation of this incarnation through its ledger."""

from hashlib import blake2b

__all__ = ["fingerprint_request", "run_operation"]


async def run_operation(node, router, request):
    """Run a request whose operation id this instance issued, at most once.

    Parameters
    ----------
    node : Node
    router : Router
    request : Request

    Returns
    -------
    Answer
    """
    return await node.ledger.run_once(
        request.operation,
        node.issuer.read_issue_time(request.operation),
        fingerprint_request(request),
        lambda: router.dispatch(request),
    )


def fingerprint_request(request):
    """Return a digest of what a repeat of the request must have in common with it."""
    digest = blake2b(digest_size=16)
    for part in (request.method, request.target, request.account):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()
