package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/pollenfront/pollenfront/operatorapi"
	"github.com/pollenfront/pollenfront/standin/internal/history"
	"github.com/pollenfront/pollenfront/standin/internal/network"
	"github.com/pollenfront/pollenfront/standin/internal/plan"
	"github.com/pollenfront/pollenfront/standin/internal/tableservice"
	"github.com/pollenfront/pollenfront/view"
)

const (
	operatorRetries = 40
	operatorTimeout = 10 * time.Second
	operatorPause   = 250 * time.Millisecond
)

// A runner orders faults.
type runner struct {
	client  *http.Client
	cuts    []network.Cut
	dir     string
	fleet   plan.Fleet
	log     io.Writer
	mutex   sync.Mutex
	records []history.Record
	tables  []tableservice.Faults
}

// Run orders the faults of a schedule, each for its time, and returns the
// records of what operators did.
func Run(ctx context.Context, fleet plan.Fleet, dir string, schedule []Fault, log io.Writer) []history.Record {
	r := &runner{client: &http.Client{Timeout: operatorTimeout}, dir: dir, fleet: fleet, log: log}
	began := time.Now()
	var all sync.WaitGroup
	for _, fault := range schedule {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(fault.At))):
			fmt.Fprintln(log, fault)
			all.Go(func() { r.order(ctx, fault) })
		}
	}
	all.Wait()
	return r.records
}

// order puts a fault into effect and ends it after its time.
func (r *runner) order(ctx context.Context, f Fault) {
	switch f.Kind {
	case KindCut, KindIsolate:
		r.setCuts(func() { r.cuts = append(r.cuts, f.Cuts...) })
		time.Sleep(f.For)
		r.setCuts(func() { r.cuts = remove(r.cuts, f.Cuts...) })
	case KindFreeze:
		pid := r.signal(f.Process, 0, syscall.SIGSTOP)
		time.Sleep(f.For)
		r.signal(f.Process, pid, syscall.SIGCONT)
	case KindKill:
		r.hold(f.Process, f.For, syscall.SIGKILL)
	case KindPlatform:
		r.setTable(func() { r.tables = append(r.tables, f.Platform) })
		time.Sleep(f.For)
		r.setTable(func() { r.tables = remove(r.tables, f.Platform) })
	case KindStop:
		r.hold(f.Process, f.For, syscall.SIGTERM)
	case KindTakeOut:
		r.operate(ctx, view.OpTakeOutZone, f.Zone)
		time.Sleep(f.For)
		r.operate(ctx, view.OpReturnZone, f.Zone)
	}
}

// hold ends a process and keeps it from being started for a time.
func (r *runner) hold(process string, d time.Duration, signal syscall.Signal) {
	file := filepath.Join(r.dir, "hold."+process)
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		fmt.Fprintln(r.log, err)
	}
	r.signal(process, 0, signal)
	time.Sleep(d)
	_ = os.Remove(file)
}

// signal sends a signal to a process, by the ID that was recorded when it was
// started unless one is given. It returns the ID.
func (r *runner) signal(process string, pid int, signal syscall.Signal) int {
	if pid == 0 {
		text, err := os.ReadFile(filepath.Join(r.dir, process+".pid"))
		if err != nil {
			return 0
		}
		pid, _ = strconv.Atoi(strings.TrimSpace(string(text)))
	}
	if pid > 1 {
		_ = syscall.Kill(pid, signal)
	}
	return pid
}

// setCuts changes the cuts in effect.
func (r *runner) setCuts(change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
	cuts := r.cuts
	if cuts == nil {
		cuts = []network.Cut{}
	}
	r.post(r.fleet.Network+"/cuts", cuts)
}

// setTable changes the faults of the table in effect.
func (r *runner) setTable(change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
	var sum tableservice.Faults
	for _, f := range r.tables {
		sum.Down = sum.Down || f.Down
		sum.Delay = max(sum.Delay, f.Delay)
		sum.LoseAnswers = max(sum.LoseAnswers, f.LoseAnswers)
	}
	r.post(r.fleet.Platform+"/faults", sum)
}

// operate makes an operator's change through the first entry that answers, and
// records when it was written and accepted.
func (r *runner) operate(ctx context.Context, operation view.Operation, zone string) {
	change := view.Change{By: "faults", ID: uuid.NewString(), Name: zone, Operation: operation}
	at := time.Now()
	for i := range operatorRetries {
		entry := r.fleet.Entries[i%len(r.fleet.Entries)]
		var result operatorapi.ChangeResult
		status := r.postTo(entry.API+operatorapi.PathChanges, operatorapi.ChangeRequest{Change: change}, &result)
		if status == http.StatusOK && (result.Accepted || operation == view.OpReturnZone) {
			fmt.Fprintf(r.log, "        %s %s: version %d accepted %v after %v\n", operation, zone, result.Version, result.Accepted, time.Since(at).Round(time.Millisecond))
			r.record(operation, zone, at)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(operatorPause):
		}
	}
	fmt.Fprintf(r.log, "        %s %s: not accepted\n", operation, zone)
	r.record(view.OpReturnZone, zone, at) // It may take effect at any time from now on.
}

// record records a change of a zone.
func (r *runner) record(operation view.Operation, zone string, at time.Time) {
	event := history.EventReturn
	if operation == view.OpTakeOutZone {
		event = history.EventTakeOut
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.records = append(r.records, history.Record{At: at, End: time.Now(), Event: event, Zone: zone})
}

// post posts a value as JSON.
func (r *runner) post(url string, value any) {
	r.postTo(url, value, nil)
}

// postTo posts a value as JSON, decodes the answer and returns its status.
func (r *runner) postTo(url string, value, answer any) int {
	body, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	response, err := r.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if answer != nil && response.StatusCode == http.StatusOK {
		_ = json.NewDecoder(response.Body).Decode(answer)
	}
	return response.StatusCode
}

// remove returns a list without one element that is equal to each of those
// given.
func remove[T comparable](list []T, elements ...T) []T {
	for _, e := range elements {
		if i := slices.Index(list, e); i >= 0 {
			list = slices.Delete(list, i, i+1)
		}
	}
	return list
}
