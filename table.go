package pollenfront

import "context"

// A Row is one row of the platform's table.
type Row struct {
	Value   []byte
	Version uint64 // Zero if the row does not exist.
}

// A Table is the platform's transactional table service.
type Table interface {
	// CompareAndSet replaces the row named key if its version is still
	// row.Version, and returns the new version. It returns a
	// refusal.Conflict error if the version has changed, and a
	// refusal.TableUnavailable error if the outcome is not known: the write
	// may have taken effect.
	CompareAndSet(ctx context.Context, key string, row Row) (uint64, error)

	// Get returns the row named key. If its version is still known, it may
	// return a row without a value. It returns a refusal.TableUnavailable
	// error if the table does not answer.
	Get(ctx context.Context, key string, known uint64) (Row, error)
}
