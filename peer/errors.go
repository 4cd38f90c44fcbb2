package peer

// callError is the error of a failed call. Its kind is ErrNotSent, ErrNoReply or ErrRemote;
// both kind and cause match under errors.Is, including the one of the standard library.
type callError struct {
	kind  error
	cause error
}

func newCallError(kind, cause error) error { return &callError{kind: kind, cause: cause} }

func (e *callError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// remoteError is the text of an error that a peer's handler returned.
type remoteError string

func (t remoteError) Error() string { return string(t) }
