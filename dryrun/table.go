// Package dryrun implements the platform's table for trying a change out:
// reads go through, writes only seem to.
//
// # Usage
//
//	table := dryrun.NewTable(real)
package dryrun

import (
	"context"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/refusal"
)

var _ pollenfront.Table = &Table{}

// A Table reads from another table and drops writes.
type Table struct {
	table pollenfront.Table
}

// NewTable returns a Table that reads from table.
func NewTable(table pollenfront.Table) *Table {
	return &Table{table: table}
}

// CompareAndSet implements pollenfront.Table. It checks the version and writes
// nothing.
func (t *Table) CompareAndSet(ctx context.Context, key string, row pollenfront.Row) (uint64, error) {
	present, err := t.table.Get(ctx, key, 0)
	if err != nil {
		return 0, err
	}
	if present.Version != row.Version {
		return 0, refusal.New(refusal.Conflict, "row %s is at version %d, not %d", key, present.Version, row.Version)
	}
	return row.Version + 1, nil
}

// Get implements pollenfront.Table.
func (t *Table) Get(ctx context.Context, key string, known uint64) (pollenfront.Row, error) {
	return t.table.Get(ctx, key, known)
}
