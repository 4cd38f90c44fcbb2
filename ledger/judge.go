package ledger

import (
	"bytes"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
)

// verdict is what a record means for a send: it may take the claim, or it gets
// the stored answer, or else it is told the result.
type verdict struct {
	take   bool
	answer *Response
	result outcome.Result
}

func tell(r outcome.Result) verdict { return verdict{result: r} }

// judge says what the record of a key means for another send of it.
//
// All refusals but one are unknown, for not-run speaks of the key over all
// hosts and the record belongs to a send that may have run. That holds for a
// mismatch too: a client that spells its body differently when it sends it
// again, and is told not-run, would buy a second time under a new key.
func (l *Ledger) judge(r record, k Key, now time.Time) verdict {
	if len(r.Caller) > 0 && !bytes.Equal(r.Caller, callerDigest(k.Caller)) {
		return tell(outcome.Uncertain(outcome.ReasonKeyMismatch))
	}
	compared := r.DigestKnown && k.DigestKnown
	if compared && r.Digest != k.Digest {
		return tell(outcome.Uncertain(outcome.ReasonKeyMismatch))
	}
	switch r.State {
	case stateGivenUp:
		return l.judgeGivenUp(r, k, now)
	case stateDone:
		if compared && r.Kept {
			return verdict{answer: r.answer()}
		}
		return tell(outcome.Uncertain(outcome.ReasonAnswerNotKept))
	case stateClaimed:
		if now.Sub(r.stamped()) < inProgress {
			return tell(outcome.Uncertain(outcome.ReasonKeyInProgress))
		}
	}
	return tell(outcome.Uncertain(outcome.ReasonKeyUndecided))
}

// inProgress is the age at which a claim without an answer is called undecided.
// Only the reason changes: the claim stays.
const inProgress = time.Minute

// judgeGivenUp lets a send take a given-up key if it arrived after the mark.
//
// The failure: a send that was held up before it made its claim wakes after
// another send was told not-run, finds the key free and runs it; the caller
// meanwhile has bought elsewhere. So a send may take the key only if it arrived
// ReopenAfter past the mark's stamp, and not-run is told only until half of that
// has passed: every send that had arrived by then is shut out, as long as the
// hosts' clocks differ by less than the other half. Were they to differ by more,
// the key would still run at most once, for the table decides who takes it.
func (l *Ledger) judgeGivenUp(r record, k Key, now time.Time) verdict {
	mark := r.stamped()
	if k.Arrived.Round(0).Sub(mark) > l.opts.ReopenAfter {
		return verdict{take: true}
	}
	if now.Round(0).Sub(mark) < l.opts.tellWithin() {
		return tell(outcome.Refuse(outcome.ReasonKeyGivenUp))
	}
	return tell(outcome.Uncertain(outcome.ReasonKeyGivenUp))
}
