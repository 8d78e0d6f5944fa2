// Package pollenfront defines the types and interfaces that pollenfront's
// programs share.
//
// Pollenfront dispatches jobs, which are sets of sub-second tasks, to backend
// servers of very different speeds. An entry takes a job, owns it while its
// caller waits, and decides which backend server runs which task. An agent
// beside each backend server starts the tasks, keeps the server's lease, and
// ends the runs of entries that are silent. What must last, the operators'
// orders and where the entries are, lies in the platform's store.
//
// # Usage
//
// The interfaces in this package have their implementations in packages below
// it:
//
//   - Store, BackendServer: platform, which speaks to the users' platform
//   - Jobs: entry/internal/jobs
//
// Decisions are state machines without goroutines, sockets or clocks: scheduler
// (the entry's) and executor (the agent's). The programs drive them, and so does
// replay, which plays whole fleets in virtual time.
package pollenfront
