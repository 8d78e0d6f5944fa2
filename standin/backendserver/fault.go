package backendserver

// A Fault describes how a server misbehaves. The soak prints faults with %+v, so
// the names of the fields are part of its output.
type Fault struct {
	// Dark means that the server neither answers requests nor announces itself.
	Dark bool
	// Fails means that every run ends as failed.
	Fails bool
	// Hangs means that runs start but make no progress.
	Hangs bool
	// LateRate is the share of start and stop requests, from 0 to 1, that get no
	// response and are carried out some seconds later, by the incarnation that is up then.
	LateRate float64
	// LateRenewalRate is the share of renewal requests that get no response and are carried
	// out some seconds later.
	LateRenewalRate float64
	// LateStopRate is the share of stop requests that get no response and are carried out
	// some seconds later, if it is above LateRate.
	LateStopRate float64
	// LostStopRate is the share of the other stop requests that get no response and are
	// never carried out.
	LostStopRate float64
	// Slow is the factor by which runs take longer; below 1 it has no effect.
	Slow float64
}

// lateStarts returns the share of start requests that are carried out late.
func (f Fault) lateStarts() float64 {
	return f.LateRate
}

// lostStarts returns the share of the other start requests that are lost.
func (f Fault) lostStarts() float64 {
	return 0
}

// lateStops returns the share of stop requests that are carried out late.
func (f Fault) lateStops() float64 {
	return max(f.LateRate, f.LateStopRate)
}

// lostStops returns the share of the other stop requests that are lost.
func (f Fault) lostStops() float64 {
	return f.LostStopRate
}

// union returns the fault of a server that has both faults.
func (f Fault) union(g Fault) Fault {
	return Fault{
		Dark: f.Dark || g.Dark, Fails: f.Fails || g.Fails, Hangs: f.Hangs || g.Hangs, LateRate: max(f.LateRate, g.LateRate),
		LateRenewalRate: max(f.LateRenewalRate, g.LateRenewalRate), LateStopRate: max(f.LateStopRate, g.LateStopRate),
		LostStopRate: max(f.LostStopRate, g.LostStopRate), Slow: max(f.Slow, g.Slow),
	}
}

// SetFault sets how the server misbehaves from now on, and ends all other faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.faults)
	s.faults[&f] = true
	s.fault = f
}

// AddFault adds a fault to those of the server. The returned function ends it.
func (s *Server) AddFault(f Fault) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[&f] = true
	s.fault = s.fault.union(f)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.faults, &f)
		s.fault = Fault{}
		for other := range s.faults {
			s.fault = s.fault.union(*other)
		}
	}
}
