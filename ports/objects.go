package ports

import "context"

// ObjectStore keeps whole objects by name. Get of an absent object returns nil
// without an error. Errors are as for Table.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}
