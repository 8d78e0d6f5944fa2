package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type jobKind struct {
	work  time.Duration
	tasks int
	own   int // 0 platform, 1 may run again, 2 at most once
}

func torture(r *record, trouble bool) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	length := 30 * time.Second
	theme := os.Getenv("THEME")
	rnd := rand.New(rand.NewPCG(seed, 9))
	var rmu sync.Mutex
	intn := func(n int) int { rmu.Lock(); defer rmu.Unlock(); return rnd.IntN(n) }
	f, err := startFleet(r, 3, 4)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return nil, err
	}
	lossShare, lateShare := 0, 0
	if strings.Contains(theme, "lose") {
		lossShare = 10
	}
	if strings.Contains(theme, "late") {
		lateShare = 8
	}
	for _, rn := range f.runners {
		rn.mu.Lock()
		rn.clockRate = 0.98
		if lossShare > 0 {
			rn.lose = func(string) bool { return intn(100) < lossShare }
		}
		if lateShare > 0 {
			rn.late = func(call string, _ *order) time.Duration {
				if intn(100) < lateShare {
					return 2*time.Second + time.Duration(intn(10000))*time.Millisecond
				}
				return 0
			}
		}
		rn.mu.Unlock()
	}
	var breaks []string
	var mu sync.Mutex
	add := func(format string, args ...any) {
		mu.Lock()
		breaks = append(breaks, fmt.Sprintf(format, args...))
		mu.Unlock()
	}
	stopAt := r.now() + length
	sigterm := make([]time.Duration, 3)
	var wg sync.WaitGroup
	type jobState struct {
		attempts, refused int
		cancelAck         time.Duration
		completed         time.Duration
		kind              jobKind
	}
	states := map[string]*jobState{}
	submit := func(id string, k jobKind) {
		st := &jobState{kind: k}
		mu.Lock()
		states[id] = st
		mu.Unlock()
		client := newClient()
		budget := 1500*time.Millisecond + 3*k.work
		end := r.now() + budget
		for r.now() < end {
			e := intn(3)
			left := end - r.now()
			wait := left
			dropped := intn(100) < 12
			if dropped {
				wait = min(left, time.Duration(intn(int(k.work/time.Millisecond)+50)+1)*time.Millisecond)
			}
			mu.Lock()
			st.attempts++
			mu.Unlock()
			sent := r.now()
			var a answer
			r.add("client: job %s to entry %d, waits %v of %v", id, e, wait, left)
			if k.own == 0 {
				a = sendFor(client, "POST", "http://"+f.address(1, e, portFront)+prefix+id, host, left, wait, platformJob(k.tasks, 6200, k.work), r)
			} else {
				a = sendFor(client, "POST", "http://"+f.address(1, e, portAPI)+"/v1/jobs", "", left, wait, ownJob(id, k.tasks, 6200, k.work, left, k.own == 1), r)
			}
			r.add("client: job %s: %s", id, a)
			mu.Lock()
			switch {
			case a.err == nil && a.status == 200:
				if strings.Contains(a.body, "completed") {
					st.completed = a.ended
					done := map[string]bool{}
					for _, run := range r.runsOf(id) {
						if run.how == "done" {
							done[run.task] = true
						}
					}
					if len(done) < k.tasks {
						breaks = append(breaks, fmt.Sprintf("MIXED: job %s completed with %d of %d done", id, len(done), k.tasks))
					}
				}
				mu.Unlock()
				return
			case a.err == nil && (a.status == 503 || a.status == 429):
				st.refused++
				mu.Unlock()
				return
			case a.err == nil && a.status != 504:
				breaks = append(breaks, fmt.Sprintf("odd answer %s", a))
				mu.Unlock()
				return
			}
			if a.err != nil && k.own == 0 && !dropped && sigterm[e] > 0 && sent < sigterm[e]+2*time.Second && a.ended > sigterm[e] && a.ended < sigterm[e]+7*time.Second && a.ended > sent+lossSlack && a.ended < sent+left-50*time.Millisecond {
				if os.Getenv("NOKILL") != "" {
					breaks = append(breaks, fmt.Sprintf("LOST? job %s: %s", id, a))
				}
			}
			mu.Unlock()
			time.Sleep(1300 * time.Millisecond)
		}
	}
	kinds := []jobKind{{60 * time.Millisecond, 4, 0}, {200 * time.Millisecond, 2, 0}, {900 * time.Millisecond, 2, 0}, {2500 * time.Millisecond, 2, 0}, {3600 * time.Millisecond, 1, 0}, {900 * time.Millisecond, 2, 1}, {600 * time.Millisecond, 1, 2}, {2500 * time.Millisecond, 1, 2}}
	// disturbances
	if trouble {
		wg.Go(func() {
			for r.now() < stopAt {
				time.Sleep(time.Duration(200+intn(900)) * time.Millisecond)
				for range 1 + intn(2) {
					d := time.Duration(intn(2500)+50) * time.Millisecond
					switch c := intn(11); c {
					case 0, 1:
						p := f.entries[intn(3)]
						r.add("TROUBLE kill %s", p.name)
						wg.Go(func() {
							p.signal(syscall.SIGKILL)
							p.wait(time.Second)
							time.Sleep(300 * time.Millisecond)
							_ = p.start()
						})
					case 2, 3:
						p := f.agents[intn(4)]
						r.add("TROUBLE kill %s", p.name)
						wg.Go(func() {
							p.signal(syscall.SIGKILL)
							p.wait(time.Second)
							time.Sleep(time.Duration(intn(500)) * time.Millisecond)
							_ = p.start()
						})
					case 4:
						p := f.entries[intn(3)]
						r.add("TROUBLE stop %s for %v", p.name, d)
						p.signal(syscall.SIGSTOP)
						time.AfterFunc(d, func() { p.signal(syscall.SIGCONT) })
					case 5:
						p := f.agents[intn(4)]
						r.add("TROUBLE stop %s for %v", p.name, d)
						p.signal(syscall.SIGSTOP)
						time.AfterFunc(d, func() { p.signal(syscall.SIGCONT) })
					case 6, 7:
						rn := f.runners[intn(4)]
						down := time.Duration(intn(1500)) * time.Millisecond
						if intn(3) == 0 {
							down = time.Duration(intn(40)) * time.Millisecond
						}
						r.add("TROUBLE crash %s, down for %v", rn.name, down)
						wg.Go(func() { rn.crash(); time.Sleep(down); _ = rn.listen() })
					case 8:
						i := intn(3)
						p := f.entries[i]
						r.add("TROUBLE term %s", p.name)
						mu.Lock()
						sigterm[i] = r.now()
						mu.Unlock()
						wg.Go(func() {
							p.signal(syscall.SIGTERM)
							p.wait(7 * time.Second)
							p.signal(syscall.SIGKILL)
							time.Sleep(100 * time.Millisecond)
							_ = p.start()
							mu.Lock()
							sigterm[i] = 0
							mu.Unlock()
						})
						time.Sleep(time.Second)
					case 9:
						p := f.agents[intn(4)]
						r.add("TROUBLE term %s", p.name)
						wg.Go(func() {
							p.signal(syscall.SIGTERM)
							p.wait(7 * time.Second)
							p.signal(syscall.SIGKILL)
							time.Sleep(100 * time.Millisecond)
							_ = p.start()
						})
					case 10:
						r.add("TROUBLE store")
						f.store.DiscardHistory()
					}
				}
			}
		})
	}
	for i := 0; r.now() < stopAt; i++ {
		id := fmt.Sprintf("%08x%08x", seed, i)
		k := kinds[intn(len(kinds))]
		wg.Go(func() { submit(id, k) })
		if intn(6) == 0 && k.own != 2 {
			wg.Go(func() {
				time.Sleep(time.Duration(intn(int(k.work/time.Millisecond))) * time.Millisecond)
				for range 4 {
					a := sendFor(newClient(), "DELETE", "http://"+f.address(1, intn(3), portFront)+prefix+id, host, 3*time.Second, 3*time.Second, nil, r)
					r.add("client: DELETE %s: %s", id, a)
					if a.err == nil && (a.status == 200 || a.status == 410) {
						mu.Lock()
						states[id].cancelAck = r.now()
						mu.Unlock()
						return
					}
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Duration(30+intn(60)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	breaks = append(breaks, r.overlaps()...)
	counts := map[string]int{}
	for id, st := range states {
		runs := r.runsOf(id)
		if st.attempts == st.refused && len(runs) > 0 {
			add("REFUSED: job %s was refused, and ran", id)
		}
		if st.completed > 0 {
			counts["completed"]++
		}
		counts["all"]++
		for _, run := range runs {
			if st.cancelAck > 0 && (run.began > st.cancelAck+3*time.Second || run.ended > st.cancelAck+3*time.Second+50*time.Millisecond) {
				add("UNASKED: %s ran from %.3f to %.3f, cancel acked at %.3f", run.task, run.began.Seconds(), run.ended.Seconds(), st.cancelAck.Seconds())
			}
		}
		if st.kind.own == 2 && len(runs) > st.kind.tasks {
			add("ATMOSTONCE: job %s ran %d times", id, len(runs))
		}
	}
	fmt.Println(counts)
	return breaks, nil
}
