package ports

import "context"

// ObjectStore stores whole objects by name. Get returns nil without an error if the object
// does not exist. Errors are the same as for Table.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}
