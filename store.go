package pollenfront

import (
	"context"
	"errors"
	"time"
)

// ErrClaimed means that the ID of a job was claimed before.
var ErrClaimed = errors.New("the ID was claimed before")

// ErrHistoryGone means that changes since a version can't be listed any more.
var ErrHistoryGone = errors.New("the store's history since the version is gone")

// OperatorState is what the operators have set: the configuration and the zones
// that are out of service.
type OperatorState struct {
	Config        *Config  // Nil before the first one.
	DecodeErrors  []string // Of the newest changes: what could not be read, and leaves the former in force.
	DisabledZones []string
	Version       uint64 // Of the store.
}

// An EntryRecord says where an entry takes the links of agents.
type EntryRecord struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Name        string `json:"name"`
	Zone        string `json:"zone"`
}

// Entries are the entries that have registered.
type Entries struct {
	Records map[string]EntryRecord // By name.
	Version uint64                 // Of the store.
}

// A Store keeps what must last: the operators' orders and where the entries
// are. A call without an answer may have taken effect.
type Store interface {
	// Claim claims the ID of a job that may run only once. It returns
	// ErrClaimed if that was done before.
	Claim(ctx context.Context, id string) error

	// Entries returns all records of entries.
	Entries(ctx context.Context) (Entries, error)

	// PollEntries waits for a change to known and returns the new state. It
	// returns the known state if nothing changes, and ErrHistoryGone if
	// Entries must be called instead.
	PollEntries(ctx context.Context, known Entries, wait time.Duration) (Entries, error)

	// OperatorState returns the newest state that the operators have set.
	OperatorState(ctx context.Context) (OperatorState, error)

	// PollOperatorState is to OperatorState as PollEntries is to Entries.
	PollOperatorState(ctx context.Context, known OperatorState, wait time.Duration) (OperatorState, error)

	// Register writes the record of an entry.
	Register(ctx context.Context, record EntryRecord) error

	// SaveAnnouncement writes what the backend server beside an agent has
	// announced, for the agent's next incarnation.
	SaveAnnouncement(ctx context.Context, agent string, announcement Announcement) error

	// LoadAnnouncement returns what SaveAnnouncement has written, or false if it has not.
	LoadAnnouncement(ctx context.Context, agent string) (Announcement, bool, error)
}
