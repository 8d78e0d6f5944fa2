// Package debuglog implements the platform's table with a log line for each
// write and each error of another implementation.
//
// # Usage
//
//	table := debuglog.NewTable(real, logger)
package debuglog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenfront/pollenfront"
)

var _ pollenfront.Table = &Table{}

// A Table logs the use of another table.
type Table struct {
	logger *zap.Logger
	table  pollenfront.Table
}

// NewTable returns a Table that logs the use of table.
func NewTable(table pollenfront.Table, logger *zap.Logger) *Table {
	return &Table{logger: logger, table: table}
}

// CompareAndSet implements pollenfront.Table.
func (t *Table) CompareAndSet(ctx context.Context, key string, row pollenfront.Row) (uint64, error) {
	began := time.Now()
	version, err := t.table.CompareAndSet(ctx, key, row)
	t.logger.Debug("table write", zap.String("key", key), zap.Uint64("base", row.Version),
		zap.Uint64("version", version), zap.Int("bytes", len(row.Value)), zap.Duration("took", time.Since(began)), zap.Error(err))
	return version, err
}

// Get implements pollenfront.Table.
func (t *Table) Get(ctx context.Context, key string, known uint64) (pollenfront.Row, error) {
	row, err := t.table.Get(ctx, key, known)
	if err != nil {
		t.logger.Debug("table read", zap.String("key", key), zap.Error(err))
	}
	return row, err
}
