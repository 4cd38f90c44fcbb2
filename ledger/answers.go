package ledger

// answerQueue bounds the memory of the answers that an issuer keeps: the oldest
// go first. Its owner's lock guards it.
type answerQueue struct {
	limit int
	size  int
	keys  []*spentKey
}

func (q *answerQueue) add(k *spentKey) {
	if k.answer == nil {
		return
	}
	q.keys = append(q.keys, k)
	q.size += k.answer.size()
	for q.size > q.limit {
		oldest := q.keys[0]
		q.keys = q.keys[1:]
		q.remove(oldest)
	}
}

// remove takes the answer from a key; its place in the queue stays.
func (q *answerQueue) remove(k *spentKey) {
	if k.answer == nil {
		return
	}
	q.size -= k.answer.size()
	k.answer = nil
}

// trim drops the places of answers that are gone from the head of the queue.
func (q *answerQueue) trim() {
	for len(q.keys) > 0 && q.keys[0].answer == nil {
		q.keys = q.keys[1:]
	}
}

// headerOverhead is a rough size in bytes of one header value beside its text.
const headerOverhead = 64

// size estimates the memory of an answer in bytes.
func (a *Response) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerOverhead
		}
	}
	return n
}

// reserve returns the answer if it may be kept until it is written down, or
// nil if it is too large or too much waits already.
func (l *Ledger) reserve(a *Response) *Response {
	if a == nil || a.size() > l.opts.MaxAnswer {
		return nil
	}
	if l.waiting.Add(int64(a.size())) > int64(l.opts.AnswerMemory) {
		l.waiting.Add(-int64(a.size()))
		return nil
	}
	return a
}

// release ends the reservation of an answer; nil reserved nothing.
func (l *Ledger) release(a *Response) {
	if a != nil {
		l.waiting.Add(-int64(a.size()))
	}
}
