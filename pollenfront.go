// Package pollenfront defines the types and interfaces that pollenfront's
// programs share.
//
// Pollenfront dispatches jobs to backend servers of very different speeds. A job
// is a set of sub-second tasks. An entry accepts a job, is responsible for it
// while the caller waits, and decides which backend server runs which task. An
// agent beside each backend server starts the tasks, renews the server's lease,
// and ends the runs of entries that are silent. Data that must outlive these
// processes, such as the operator state and the addresses of the entries, is kept
// in the platform's store.
//
// # Usage
//
// The interfaces in this package are implemented by other packages:
//
//   - Store, Operator and BackendServer by platform, which is the client for the
//     users' platform
//   - Jobs by entry/internal/jobs
//   - Chooser by placement
//
// All decisions are made by state machines without goroutines, sockets or
// clocks: scheduler for entries and executor for agents. The programs drive
// them, and so does replay, which simulates whole fleets in virtual time.
package pollenfront
