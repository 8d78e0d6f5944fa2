package backendserver_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pollenfront/pollenfront/standin/backendserver"
)

// Times of the stand-in that the tests check.
const (
	// maxLateDelay is the longest delay of a late request.
	maxLateDelay = 6 * time.Second

	// maxLease is the longest lease that a server grants.
	maxLease = time.Second
)

// A runLog is an observer that keeps when runs started and how they ended.
type runLog struct {
	mu      sync.Mutex
	endings []string
	started []time.Time
	ended   []time.Time
}

func (l *runLog) RunStarted(string, string, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = append(l.started, time.Now())
}

func (l *runLog) RunEnded(_, _, ending string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended, l.endings = append(l.ended, time.Now()), append(l.endings, ending)
}

func (l *runLog) ServerCrashed(string) {}

// allEndings returns how the runs ended.
func (l *runLog) allEndings() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.endings...)
}

// times returns when the first run started and ended.
func (l *runLog) times() (started, ended time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started[0], l.ended[0]
}

// counts returns the number of runs that have started, and that of those that have ended.
func (l *runLog) counts() [2]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return [2]int{len(l.started), len(l.ended)}
}

// An answer is a response of a server. Its status is zero if there was no response.
type answer struct {
	Born     int64  `json:"born"`
	ClockMS  int64  `json:"clock-ms"`
	Finished []any  `json:"finished"`
	Reason   string `json:"reason"`
	Running  []any  `json:"running"`
	status   int
}

// call sends a request to a server without a network.
func call(s *backendserver.Server, operation, body string) (a answer) {
	defer func() {
		if err := recover(); err != nil && err != http.ErrAbortHandler { //nolint:errorlint // The value that net/http documents.
			panic(err)
		}
	}()
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/pollenfront/"+operation, strings.NewReader(body)))
	if err := json.Unmarshal(recorder.Body.Bytes(), &a); err != nil {
		panic(err)
	}
	a.status = recorder.Code
	return a
}

// start sends a request to start a run that takes a minute.
func start(s *backendserver.Server, run int, token uint64, deadlineMS int64) answer {
	return call(s, "run-start", fmt.Sprintf(
		`{"task":"0011223344556677.0.0.0","run":%d,"spec":"{\"cpu\":100,\"work\":\"1m\"}","deadline-ms":%d,"fencing-token":%d}`, run, deadlineMS, token))
}

// stop sends a request to stop a run.
func stop(s *backendserver.Server, run int, token uint64) answer {
	return call(s, "run-stop", fmt.Sprintf(`{"task":"0011223344556677.0.0.0","run":%d,"fencing-token":%d}`, run, token))
}

// renew sends a request to renew the lease to the longest one.
func renew(s *backendserver.Server, token, acknowledged uint64) answer {
	return call(s, "hold", fmt.Sprintf(`{"deadline-ms":3600000,"fencing-token":%d,"ack-cursor":%d}`, token, acknowledged))
}

// newLoggedServer returns a server that announces itself at an address, and the log of its
// runs.
func newLoggedServer(announce string) (*backendserver.Server, *runLog) {
	log := &runLog{}
	return backendserver.New(backendserver.Options{Announce: announce, CPU: 6000, Name: "server-0", Observer: log, RunTimeFactor: 1, Service: "lookup", Zone: "west"}), log
}

// TestLateStartReachesNextIncarnation guards against a stand-in that forgets late requests
// at a restart: the next incarnation carries them out, knows no token and no stop, and takes
// the deadline for a time on its own clock.
func TestLateStartReachesNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, log := newLoggedServer("")
		time.Sleep(time.Minute)
		s.SetFault(backendserver.Fault{LateRate: 1})
		c.Assert(start(s, 1, 5, 60600).status, qt.Equals, 0)
		s.SetFault(backendserver.Fault{})
		c.Assert(stop(s, 1, 6).status, qt.Equals, http.StatusOK)
		s.Restart()
		restarted := time.Now()
		time.Sleep(maxLateDelay + maxLease)
		c.Assert(log.allEndings(), qt.DeepEquals, []string{"lapsed"})
		started, ended := log.times()
		c.Check(started.Sub(restarted) >= 2*time.Second, qt.IsTrue)
		c.Check(ended.Sub(started), qt.Equals, maxLease)
	})
}

// TestLateStartInSameIncarnation guards against a late start that ignores the token, the
// stop or the deadline that the incarnation knows.
func TestLateStartInSameIncarnation(t *testing.T) {
	tests := []struct {
		name       string
		deadlineMS int64
		before     func(s *backendserver.Server)
		want       int
	}{
		{name: "nothing known", deadlineMS: 3600000, before: func(*backendserver.Server) {}, want: 1},
		{name: "a higher token", deadlineMS: 3600000, before: func(s *backendserver.Server) { renew(s, 6, 0) }},
		{name: "stopped", deadlineMS: 3600000, before: func(s *backendserver.Server) { stop(s, 1, 5) }},
		{name: "deadline passed", deadlineMS: 1000, before: func(*backendserver.Server) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, log := newLoggedServer("")
				s.SetFault(backendserver.Fault{LateRate: 1})
				start(s, 1, 5, test.deadlineMS)
				s.SetFault(backendserver.Fault{})
				test.before(s)
				time.Sleep(maxLateDelay + maxLease)
				qt.Assert(t, log.counts(), qt.Equals, [2]int{test.want, test.want})
			})
		})
	}
}

// TestRequestsWhileDown guards against runs of a server whose process has ended.
func TestRequestsWhileDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, log := newLoggedServer("")
		start(s, 1, 5, 3600000)
		s.SetFault(backendserver.Fault{LateRate: 1})
		start(s, 2, 5, 3600000)
		s.SetFault(backendserver.Fault{})
		s.Crash(maxLateDelay + time.Second)
		c.Check(log.allEndings(), qt.DeepEquals, []string{"lapsed"})
		c.Check(start(s, 3, 5, 3600000).status, qt.Equals, 0)
		c.Check(renew(s, 5, 0).status, qt.Equals, 0)
		time.Sleep(maxLateDelay + 2*time.Second)
		c.Check(log.counts(), qt.Equals, [2]int{1, 1})
		c.Check(start(s, 4, 1, 3600000).status, qt.Equals, http.StatusOK)
	})
}

// TestLeaseOfFormerIncarnation guards against a run that outlives its lease because the
// former incarnation had a longer one.
func TestLeaseOfFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, log := newLoggedServer("")
		renew(s, 5, 0)
		s.Restart()
		c.Assert(start(s, 1, 5, 101).status, qt.Equals, http.StatusOK)
		time.Sleep(maxLease)
		started, ended := log.times()
		c.Assert(ended.Sub(started) <= 101*time.Millisecond, qt.IsTrue)
	})
}

// TestHinderedStops guards against stops that are carried out in spite of the fault, and
// against a fault that keeps the server from answering renewals.
func TestHinderedStops(t *testing.T) {
	tests := []struct {
		name  string
		fault backendserver.Fault

		// ended is whether the run ends by the stop, after a delay.
		ended bool
	}{
		{name: "late", fault: backendserver.Fault{LateStopRate: 1}, ended: true},
		{name: "lost", fault: backendserver.Fault{LostStopRate: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s, log := newLoggedServer("")
				s.SetFault(test.fault)
				c.Assert(start(s, 1, 5, 3600000).status, qt.Equals, http.StatusOK)
				c.Assert(stop(s, 1, 5).status, qt.Equals, 0)
				stopped := time.Now()
				for time.Since(stopped) < maxLateDelay+time.Second {
					time.Sleep(maxLease / 10)
					c.Assert(renew(s, 5, 0).status, qt.Equals, http.StatusOK)
				}
				if !test.ended {
					c.Assert(log.allEndings(), qt.HasLen, 0)
					return
				}
				c.Assert(log.allEndings(), qt.DeepEquals, []string{"stopped"})
				_, ended := log.times()
				c.Assert(ended.Sub(stopped) >= 2*time.Second, qt.IsTrue)
			})
		})
	}
}

// TestLateRenewal guards against late renewals without the effects of a renewal: one that
// reaches the next incarnation extends its lease and discards its ended runs.
func TestLateRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _ := newLoggedServer("")
		s.SetFault(backendserver.Fault{LateRenewalRate: 1})
		c.Assert(renew(s, 5, 1).status, qt.Equals, 0)
		s.SetFault(backendserver.Fault{})
		s.Restart()
		start(s, 1, 1, 3600000)
		stop(s, 1, 1)
		time.Sleep(maxLease)
		c.Assert(renew(s, 1, 0).Finished, qt.HasLen, 1)
		time.Sleep(maxLateDelay)
		c.Assert(renew(s, 1, 0).Reason, qt.Equals, "fence")
		c.Assert(renew(s, 5, 0).Finished, qt.HasLen, 0)
	})
}

// TestSecondRunOnOneServer guards against a stand-in that hides two runs of one task on one
// server: it takes a start of another run for a repeated one.
func TestSecondRunOnOneServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, log := newLoggedServer("")
		for _, run := range []int{1, 1, 2} {
			c.Assert(start(s, run, 5, 3600000).status, qt.Equals, http.StatusOK)
		}
		c.Assert(log.counts(), qt.Equals, [2]int{2, 0})
		c.Assert(renew(s, 5, 0).Running, qt.HasLen, 2)
		stop(s, 2, 5)
		time.Sleep(100 * time.Millisecond)
		c.Assert(log.allEndings(), qt.DeepEquals, []string{"stopped", "stopped"})
	})
}

// TestClockStep guards against incarnations whose numbers only rise, although the time of
// day can be set back between them.
func TestClockStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _ := newLoggedServer("")
		first := renew(s, 5, 0)
		s.CrashWithClockStep(time.Second, -time.Hour)
		time.Sleep(2 * time.Second)
		second := renew(s, 1, 0)
		c.Check(second.Born-first.Born, qt.Equals, (time.Second - time.Hour).Milliseconds())
		c.Check(second.ClockMS, qt.Equals, int64(1001))
		s.Restart()
		c.Check(renew(s, 1, 0).Born-second.Born, qt.Equals, int64(1000))
	})
}

// TestOverlappingFaults guards against a fault that ends together with another one.
func TestOverlappingFaults(t *testing.T) {
	c := qt.New(t)
	s, _ := newLoggedServer("")
	endStops := s.AddFault(backendserver.Fault{LostStopRate: 1})
	endRenewals := s.AddFault(backendserver.Fault{LateRenewalRate: 1})
	c.Check([]int{stop(s, 1, 1).status, renew(s, 1, 0).status}, qt.DeepEquals, []int{0, 0})
	endStops()
	c.Check([]int{stop(s, 1, 1).status, renew(s, 1, 0).status}, qt.DeepEquals, []int{http.StatusOK, 0})
	endRenewals()
	c.Check([]int{stop(s, 1, 1).status, renew(s, 1, 0).status}, qt.DeepEquals, []int{http.StatusOK, http.StatusOK})
}

// A message is a message to an agent.
type message struct {
	Born    int64  `json:"born"`
	ClockMS int64  `json:"clock-ms"`
	Seq     uint64 `json:"seq"`
	path    string
}

// newAgent returns the address of a stand-in for an agent, and the messages that reach it.
func newAgent(t *testing.T) (string, chan message) {
	t.Helper()
	messages := make(chan message, 10)
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		m := message{path: r.URL.Path}
		_ = json.NewDecoder(r.Body).Decode(&m)
		messages <- m
	}))
	t.Cleanup(agent.Close)
	return strings.TrimPrefix(agent.URL, "http://"), messages
}

// TestLeave guards against a server that ends together with the notice that it leaves.
func TestLeave(t *testing.T) {
	c := qt.New(t)
	agent, messages := newAgent(t)
	s, log := newLoggedServer(agent)
	born := start(s, 1, 5, 3600000).Born
	s.Leave(200*time.Millisecond, time.Hour)
	c.Assert(<-messages, qt.Equals, message{Born: born, path: "/pollenfront/instances/server-0/deregister"})
	c.Assert(log.counts(), qt.Equals, [2]int{1, 0})
	c.Assert(renew(s, 5, 0).Running, qt.HasLen, 1)
	time.Sleep(600 * time.Millisecond)
	c.Assert(log.allEndings(), qt.DeepEquals, []string{"lapsed"})
	c.Assert(renew(s, 5, 0).status, qt.Equals, 0)
}

// TestMessagesOfOthers guards against messages of another writer, or of the former
// incarnation, that state the current incarnation.
func TestMessagesOfOthers(t *testing.T) {
	c := qt.New(t)
	agent, messages := newAgent(t)
	s, _ := newLoggedServer(agent)
	s.SendFormerAnnouncement()
	s.SendFormerNotice()
	c.Assert(messages, qt.HasLen, 0) // There is no former incarnation.
	former := renew(s, 5, 0).Born
	s.CrashWithClockStep(0, time.Hour)
	for renew(s, 5, 0).status == 0 {
		time.Sleep(time.Millisecond)
	}
	born := renew(s, 5, 0).Born
	s.SendFormerAnnouncement()
	s.SendFormerNotice()
	s.AnnounceAsOther(-24 * time.Hour)
	c.Check((<-messages).Born, qt.Equals, former)
	c.Check(<-messages, qt.Equals, message{Born: former, path: "/pollenfront/instances/server-0/deregister"})
	other := <-messages
	c.Check(other.Born, qt.Equals, born-(24*time.Hour).Milliseconds())
	c.Check(other.ClockMS > time.Hour.Milliseconds(), qt.IsTrue)
	c.Check(other.path, qt.Equals, "/pollenfront/instances/server-0/heartbeat")
}

// TestCloseListener guards against a closed listener that ends runs or the incarnation, and
// against connections that are kept or broken contrary to the fault.
func TestCloseListener(t *testing.T) {
	for _, keep := range []bool{false, true} {
		t.Run(fmt.Sprintf("connections kept %t", keep), func(t *testing.T) {
			c := qt.New(t)
			free, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			address := free.Addr().String()
			c.Assert(free.Close(), qt.IsNil)
			s, log := newLoggedServer("")
			c.Assert(s.Listen(address), qt.IsNil)
			connection, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = connection.Close() }()
			answered := func() bool {
				_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: server-0\r\n\r\n")
				_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
				n, _ := connection.Read(make([]byte, 1024))
				return n > 0
			}
			c.Assert(answered(), qt.IsTrue)
			c.Assert(start(s, 1, 5, 3600000).status, qt.Equals, http.StatusOK)
			born := renew(s, 5, 0).Born
			s.CloseListener(200*time.Millisecond, keep)
			_, err = net.Dial("tcp", address)
			c.Check(err, qt.ErrorMatches, ".*connection refused")
			c.Check(answered(), qt.Equals, keep)
			c.Check(log.counts(), qt.Equals, [2]int{1, 0})
			time.Sleep(400 * time.Millisecond)
			again, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = again.Close() }()
			c.Check(renew(s, 5, 0).Born, qt.Equals, born)
			c.Check(log.counts(), qt.Equals, [2]int{1, 0})
			s.Crash(time.Hour)
			c.Check(answered(), qt.IsFalse)
			c.Check(log.allEndings(), qt.DeepEquals, []string{"lapsed"})
		})
	}
}
