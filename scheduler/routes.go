package scheduler

// SetRoutes sets the names of the configured routes, and forgets what was recorded of others.
func (s *Scheduler) SetRoutes(names []string) {
	configured := make(map[string]bool, len(names))
	for _, name := range names {
		configured[name] = true
	}
	removed := func(name string) bool { return !configured[name] }
	if s.fair != nil {
		s.fair.accounts.RemoveRoutes(removed)
	}
	for _, evidence := range s.evidence {
		evidence.RemoveRoutes(removed)
	}
	s.interference.setRoutes(names)
}
