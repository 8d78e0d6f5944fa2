package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/pollenfront/pollenfront/standin/internal/history"
)

// errViolations says that a history breaks a promise.
var errViolations = errors.New("the history breaks a promise")

// A checkCmd checks a history.
type checkCmd struct {
	History []string `arg:"required" help:"files with the history"`
}

// execute prints the violations and returns an error if there is any.
func (c *checkCmd) execute(context.Context) error {
	var records []history.Record
	for _, file := range c.History {
		part, err := history.Read(file)
		if err != nil {
			return err
		}
		records = append(records, part...)
	}
	violations := history.Check(records)
	for _, v := range violations {
		fmt.Println("violation:", v)
	}
	fmt.Printf("%d records, %d violations\n", len(records), len(violations))
	if len(violations) > 0 {
		return errViolations
	}
	return nil
}
