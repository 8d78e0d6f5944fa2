// Package operatorapi defines the messages between pollenctl and the entries.
//
// # Usage
//
//	response, err := http.Get(base + operatorapi.PathView) // view.View
package operatorapi

import "github.com/pollenfront/pollenfront/view"

// Paths of the operators' API.
const (
	PathChanges = "/v1/operator/changes" // ChangeRequest → ChangeResult
	PathForce   = "/v1/operator/force"   // → Force
	PathState   = "/v1/operator/state"   // → dispatch.Dump
	PathView    = "/v1/operator/view"    // → view.View
)

// A ChangeRequest asks for a change.
type ChangeRequest struct {
	Change view.Change `json:"change"`
	DryRun bool        `json:"dry-run,omitempty"`
}

// A ChangeResult is what became of a change.
type ChangeResult struct {
	Accepted    bool     `json:"accepted"` // Committed and confirmed by a majority of the entries.
	DryRun      bool     `json:"dry-run,omitempty"`
	Unconfirmed []string `json:"unconfirmed,omitempty"` // Entries that have not confirmed it.
	Version     uint64   `json:"version"`
}

// A Force says which processes hold which version of the view.
type Force struct {
	Accepted uint64   `json:"accepted"` // Newest version that is known to be accepted.
	Holders  []Holder `json:"holders"`
	Version  uint64   `json:"version"`
}

// A Holder is a process that holds a version of the view.
type Holder struct {
	Name    string `json:"name"`
	Program string `json:"program"`
	Version uint64 `json:"version"`
	Zone    string `json:"zone"`
}
