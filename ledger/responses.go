package ledger

// responseQueue limits the memory of the responses that an issuer stores by
// evicting the oldest first. It is guarded by the issuer's lock.
type responseQueue struct {
	limit   int
	size    int
	entries []*redeemedKey
}

func (q *responseQueue) add(k *redeemedKey) {
	if k.response == nil {
		return
	}
	q.entries = append(q.entries, k)
	q.size += k.response.size()
	for q.size > q.limit {
		oldest := q.entries[0]
		q.entries = q.entries[1:]
		q.remove(oldest)
	}
}

// remove deletes the response of a key; the key's position in the queue remains.
func (q *responseQueue) remove(k *redeemedKey) {
	if k.response == nil {
		return
	}
	q.size -= k.response.size()
	k.response = nil
}

// trim removes keys without a response from the head of the queue.
func (q *responseQueue) trim() {
	for len(q.entries) > 0 && q.entries[0].response == nil {
		q.entries = q.entries[1:]
	}
}

// headerOverhead is the estimated overhead in bytes of one header value.
const headerOverhead = 64

// size estimates the memory used by a response in bytes.
func (a *Response) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerOverhead
		}
	}
	return n
}

// reserve returns the response if it may be kept in memory until it is persisted,
// or nil if it is too large or the memory limit is reached.
func (l *Ledger) reserve(a *Response) *Response {
	if a == nil || a.size() > l.opts.MaxResponseSize {
		return nil
	}
	if l.pendingBytes.Add(int64(a.size())) > int64(l.opts.ResponseMemory) {
		l.pendingBytes.Add(-int64(a.size()))
		return nil
	}
	return a
}

// release frees the memory reserved for a response; a nil response reserved none.
func (l *Ledger) release(a *Response) {
	if a != nil {
		l.pendingBytes.Add(-int64(a.size()))
	}
}
