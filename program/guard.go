package program

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
)

// A Guard is a mutex over a state machine. A panic while the mutex is held may leave the
// state half changed, and the HTTP server would catch it and go on. Deferred calls of
// Unlock therefore end the process: its peers and callers see their connections break,
// and it restarts with a clean state.
type Guard struct {
	sync.Mutex

	// OnPanic, if set, is called after a panic, before the process ends. The mutex is
	// held.
	OnPanic func()

	// crash replaces the end of the process in tests.
	crash func(cause any)
	// caller is the program counter at which the function that locked the mutex was called.
	caller atomic.Uintptr
	// event is the program counter at which the mutex was locked, or zero if it is not locked.
	event atomic.Uintptr
	// events is the number of times that the mutex was locked.
	events atomic.Uint64
}

// Lock locks the mutex for the event that the calling function handles.
func (g *Guard) Lock() {
	g.Mutex.Lock()
	var callers [2]uintptr
	runtime.Callers(2, callers[:]) // Callers itself and Lock are left out.
	g.events.Add(1)
	g.caller.Store(callers[1])
	g.event.Store(callers[0])
}

// hold returns the event that holds the mutex.
func (g *Guard) hold() hold {
	return hold{caller: g.caller.Load(), event: g.event.Load(), seqNum: g.events.Load()}
}

// Unlock unlocks the mutex. If it is called directly by a defer statement during a panic,
// it ends the process instead.
func (g *Guard) Unlock() {
	if cause := recover(); cause != nil {
		g.end(cause)
	}
	g.event.Store(0)
	g.Mutex.Unlock()
}

// callOnPanic calls OnPanic. A panic in it is ignored, since the process ends anyway.
func (g *Guard) callOnPanic() {
	defer func() { _ = recover() }()
	if g.OnPanic != nil {
		g.OnPanic()
	}
}

// end ends the process with a trace of the panic.
func (g *Guard) end(cause any) {
	g.callOnPanic()
	if g.crash != nil {
		g.crash(cause)
		return
	}
	message := fmt.Sprintf("%v\n\n%s", cause, debug.Stack())
	go panic(message) // A panic in this goroutine could be caught.
	select {}         // The state must not be used any more.
}
