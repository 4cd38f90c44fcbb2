package ledger

import (
	"bytes"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
)

// verdict is the decision on a request: it may take the claim, or it gets the
// stored response, or else result is reported to the caller.
type verdict struct {
	take     bool
	response *Response
	result   outcome.Result
}

func resultVerdict(r outcome.Result) verdict { return verdict{result: r} }

// judge decides on another request for a key by the key's record.
//
// All results but one are unknown, because not-run is a statement about the key on
// all hosts and the record belongs to a request that may have run. This includes a
// mismatch: a client whose retry encodes the same body differently would, if told
// not-run, repeat the purchase under a new key.
func (l *Ledger) judge(r record, k Key, now time.Time) verdict {
	if len(r.Caller) > 0 && !bytes.Equal(r.Caller, callerDigest(k.Caller)) {
		return resultVerdict(outcome.Uncertain(outcome.ReasonKeyMismatch))
	}
	compared := r.DigestKnown && k.DigestKnown
	if compared && r.Digest != k.Digest {
		return resultVerdict(outcome.Uncertain(outcome.ReasonKeyMismatch))
	}
	switch r.State {
	case stateGivenUp:
		return l.judgeGivenUp(r, k, now)
	case stateDone:
		if compared && r.Kept {
			return verdict{response: r.response()}
		}
		return resultVerdict(outcome.Uncertain(outcome.ReasonAnswerNotKept))
	case stateClaimed:
		if now.Sub(r.stamped()) < inProgressLimit {
			return resultVerdict(outcome.Uncertain(outcome.ReasonKeyInProgress))
		}
	}
	return resultVerdict(outcome.Uncertain(outcome.ReasonKeyUndecided))
}

// inProgressLimit is the age from which a claim without a response is reported as
// undecided instead of in progress. Only the reported reason changes; the claim
// remains.
const inProgressLimit = time.Minute

// judgeGivenUp lets a request take a given-up key only if it arrived long enough
// after the key was given up.
//
// Otherwise a request that was delayed before it made its claim could continue
// after another request with the key was told not-run, find the key free and run
// it, while the caller has already acted on not-run. So a request may take the key
// only if it arrived more than ReclaimDelay after the stamp of the given-up record,
// and not-run is reported only during the first half of that time: every request
// that had arrived by then is excluded, as long as the clocks of the hosts differ
// by less than the other half. With a larger difference the key still runs at most
// once, because the table decides who takes it.
func (l *Ledger) judgeGivenUp(r record, k Key, now time.Time) verdict {
	givenUpAt := r.stamped()
	if k.Arrived.Round(0).Sub(givenUpAt) > l.opts.ReclaimDelay {
		return verdict{take: true}
	}
	if now.Round(0).Sub(givenUpAt) < l.opts.notRunWindow() {
		return resultVerdict(outcome.Refuse(outcome.ReasonKeyGivenUp))
	}
	return resultVerdict(outcome.Uncertain(outcome.ReasonKeyGivenUp))
}
