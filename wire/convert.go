package wire

import (
	"time"

	"bluebellwind.example/verdict"
)

// FromVerdict converts v to its protobuf value.
func FromVerdict(v verdict.Verdict) Verdict {
	switch v {
	case verdict.NotRun:
		return Verdict_NOT_RUN
	case verdict.Ran:
		return Verdict_RAN
	default:
		return Verdict_MAY_HAVE_RUN
	}
}

// ToVerdict converts v to a verdict. An unknown value becomes MayHaveRun, because
// the attempt may have run.
func ToVerdict(v Verdict) verdict.Verdict {
	switch v {
	case Verdict_NOT_RUN:
		return verdict.NotRun
	case Verdict_RAN:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}

// RefusalOf converts e to its protobuf message. The cause of e is not sent.
func RefusalOf(e *verdict.Error) *Refusal {
	return &Refusal{
		Code:         string(e.Code),
		Verdict:      FromVerdict(e.Verdict),
		Reason:       e.Reason,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// Error converts r to an error.
func (r *Refusal) Error() *verdict.Error {
	return &verdict.Error{
		Code:       verdict.Code(r.GetCode()),
		Verdict:    ToVerdict(r.GetVerdict()),
		Reason:     r.GetReason(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}
