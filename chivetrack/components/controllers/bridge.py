"""Converts between the effects and events of controllers and those of proposals."""

from chivetrack.components.controllers.models import ConfirmRevision, ProposalEnded, Propose
from chivetrack.components.proposals.models import SubmissionEnded, Submit, SubmitRead


def make_submission(effect: Propose | ConfirmRevision) -> Submit | SubmitRead:
    """Return the event for the proposals component."""
    if isinstance(effect, Propose):
        return Submit(
            submission_id=effect.submission_id, data=effect.data, deadline=effect.deadline
        )
    return SubmitRead(submission_id=effect.submission_id, deadline=effect.deadline)


def make_event(ended: SubmissionEnded) -> ProposalEnded:
    """Return the event for the controllers, which ignore submissions of other components."""
    return ProposalEnded(
        submission_id=ended.submission_id,
        result=ended.result,
        revision=ended.revision,
        fault=ended.fault,
    )
