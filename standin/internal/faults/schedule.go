// Package faults orders faults on a running fleet after a seeded schedule:
// kills, freezes, planned stops, cuts, outages of the platform, and operators
// who take zones out.
//
// # Usage
//
//	schedule := faults.NewSchedule(fleet, seed, duration)
//	records := faults.Run(ctx, fleet, dir, schedule, log)
package faults

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/standin/internal/network"
	"github.com/pollenfront/pollenfront/standin/internal/plan"
	"github.com/pollenfront/pollenfront/standin/internal/tableservice"
)

// A Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	KindCut      Kind = "cut"      // Two zones, or a zone and the platform, lose each other.
	KindFreeze   Kind = "freeze"   // A process is stopped and resumed.
	KindIsolate  Kind = "isolate"  // An entry loses everybody.
	KindKill     Kind = "kill"     // A process is killed and started again later.
	KindPlatform Kind = "platform" // The table is down, slow, or loses answers.
	KindStop     Kind = "stop"     // A process is stopped in a planned way and started again.
	KindTakeOut  Kind = "take-out" // An operator takes a zone out and back.
)

// Times of the faults.
const (
	firstFault = 2 * time.Second
	longestGap = 4 * time.Second
	longest    = 8 * time.Second
	shortest   = time.Second
)

// A Fault is one fault of a schedule.
type Fault struct {
	At       time.Duration // Since the start of the schedule.
	Cuts     []network.Cut
	For      time.Duration
	Kind     Kind
	Platform tableservice.Faults
	Process  string // Name of the process.
	Zone     string
}

// String describes the fault.
func (f Fault) String() string {
	what := f.Process + f.Zone
	switch f.Kind {
	case KindCut, KindIsolate:
		what += fmt.Sprintf(" %v", f.Cuts)
	case KindPlatform:
		what += fmt.Sprintf(" %+v", f.Platform)
	}
	return fmt.Sprintf("%6.2fs %-9s %s for %v", f.At.Seconds(), f.Kind, what, f.For)
}

// NewSchedule returns the faults for a seed. The same seed gives the same
// schedule. Faults overlap, and about one in four comes with a second one.
func NewSchedule(fleet plan.Fleet, seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	var schedule []Fault
	at := firstFault
	for at+longest < duration {
		fault := draw(fleet, random)
		fault.At = at
		schedule = append(schedule, fault)
		if random.IntN(4) > 0 {
			at += time.Duration(random.Int64N(int64(longestGap)))
		}
	}
	return schedule
}

// draw draws one fault.
func draw(fleet plan.Fleet, random *rand.Rand) Fault {
	kinds := []Kind{KindCut, KindFreeze, KindIsolate, KindKill, KindPlatform, KindStop, KindTakeOut}
	f := Fault{For: shortest + time.Duration(random.Int64N(int64(longest-shortest))), Kind: kinds[random.IntN(len(kinds))]}
	entry := fleet.Entries[random.IntN(len(fleet.Entries))]
	server := fleet.Servers[random.IntN(len(fleet.Servers))]
	prefix := fmt.Sprintf("127.%d.", fleet.Octet)
	switch f.Kind {
	case KindCut:
		zones := [][2]int{{1, 2}, {1, 3}, {2, 3}, {1, 9}, {2, 9}, {3, 9}}
		pair := zones[random.IntN(len(zones))]
		f.Cuts = []network.Cut{{A: fmt.Sprintf("%s%d.", prefix, pair[0]), B: fmt.Sprintf("%s%d.", prefix, pair[1])}}
	case KindIsolate:
		for zone := range 4 {
			other := []int{1, 2, 3, 9}[zone]
			f.Cuts = append(f.Cuts, network.Cut{A: entry.IP, B: fmt.Sprintf("%s%d.", prefix, other)})
		}
	case KindPlatform:
		f.Platform = []tableservice.Faults{{Down: true}, {Delay: slowTable}, {LoseAnswers: lostAnswers}}[random.IntN(3)]
	case KindTakeOut:
		f.Zone = entry.Zone
	default:
		f.Process = entry.Name
		if random.IntN(2) == 0 {
			f.Process = server.Agent
		}
	}
	return f
}

// Faults of the platform.
const (
	lostAnswers = 0.5
	slowTable   = pollenfront.Duration(800 * time.Millisecond)
)
