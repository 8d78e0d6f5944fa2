// Package history defines the histories of concurrent runs and checks them
// against a small model of what must always hold.
//
// # Usage
//
//	records, err := history.Read("run/history.jsonl")
//	violations := history.Check(records)
package history

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/pollenfront/pollenfront"
)

// An Event is what a record is about.
type Event string

// Events.
const (
	EventAnswer  Event = "answer"   // An answer to one submission.
	EventStart   Event = "start"    // A backend server started a task.
	EventTakeOut Event = "take-out" // A zone or a server was taken out, accepted.
	EventReturn  Event = "return"   // A zone or a server was taken back, written.
)

// A Record is one line of a history.
type Record struct {
	Answer     *pollenfront.Answer  `json:"answer,omitempty"`
	At         time.Time            `json:"at"`           // Of a start or a change; of the submission for an answer.
	End        time.Time            `json:"end,omitzero"` // Of a start or an answer.
	Event      Event                `json:"event"`
	Idempotent bool                 `json:"idempotent,omitempty"`
	Job        pollenfront.JobID    `json:"job,omitempty"`
	OK         bool                 `json:"ok,omitempty"`     // Whether a start ended well.
	Server     string               `json:"server,omitempty"` // Of a start or a change.
	Task       string               `json:"task,omitempty"`   // Of a start.
	Tasks      []string             `json:"tasks,omitempty"`  // Of the job, for an answer.
	Work       pollenfront.Duration `json:"work,omitempty"`   // Of a start.
	Zone       string               `json:"zone,omitempty"`   // Of a start or a change.
}

// Read reads a history from a file.
func Read(file string) ([]Record, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	decoder := json.NewDecoder(bufio.NewReader(f))
	var records []Record
	for {
		var r Record
		err := decoder.Decode(&r)
		if err == io.EOF {
			return records, nil
		}
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
}

// Write writes a history to a file.
func Write(file string, records []Record) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	buffered := bufio.NewWriter(f)
	encoder := json.NewEncoder(buffered)
	for _, r := range records {
		if err := encoder.Encode(r); err != nil {
			return err
		}
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	return f.Close()
}
