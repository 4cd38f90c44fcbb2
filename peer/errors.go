package peer

// callError is the failure of a call: one of ErrNotSent, ErrNoReply and
// ErrRemote, with its cause. Both are found by errors.Is, the standard
// library's too.
type callError struct {
	kind  error
	cause error
}

func failed(kind, cause error) error { return &callError{kind: kind, cause: cause} }

func (e *callError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// remoteText is the text of an error that a peer's handler returned.
type remoteText string

func (t remoteText) Error() string { return string(t) }
