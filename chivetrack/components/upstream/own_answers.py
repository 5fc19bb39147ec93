"""Decides whether an answer is the endpoint's own, by the marks that endpoints set; without I/O.

Any program may answer at an address that an endpoint has, had or is said to have.
"""

from chivetrack.components.traffic.requests import AnswerFacts
from chivetrack.components.upstream.answer_head import AnswerHeadError, HeadFault


def check_own(facts: AnswerFacts, *, request_id: str) -> None:
    """Raise ``AnswerHeadError`` unless the endpoint itself answers the request ``request_id``.

    Endpoints echo the id of a request that has one, also when they refuse it; without the echo, a
    statement that the request did not run is not believed. They seal what they ran.
    """
    if request_id and facts.request_id != request_id:
        raise AnswerHeadError(HeadFault.NO_REQUEST_ID, "the answer does not name the request")
    if facts.did_not_run:
        return
    if not facts.is_sealed:
        raise AnswerHeadError(HeadFault.NO_SEAL, "the answer does not bear the endpoint's seal")
    if facts.is_encoded:
        raise AnswerHeadError(HeadFault.ENCODED, "the body was encoded on its way")
