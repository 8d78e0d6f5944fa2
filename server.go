package pollenfront

// A Server describes a backend server as its agent announces it.
type Server struct {
	Incarnation uint64 `json:"incarnation"` // Of the agent; a restarted agent has a higher one.
	Name        string `json:"name"`
	Slots       int    `json:"slots"` // Tasks that the backend server runs at once.
	Zone        string `json:"zone"`
}

// A ServerRef names one incarnation of a backend server's agent.
type ServerRef struct {
	Incarnation uint64 `json:"incarnation"`
	Name        string `json:"name"`
}

// Ref returns the reference to s.
func (s Server) Ref() ServerRef {
	return ServerRef{Incarnation: s.Incarnation, Name: s.Name}
}

// A Load is a backend server's load as its agent sees it.
type Load struct {
	Others  int    `json:"others"`  // Tasks of owners other than the one that is told.
	Queued  int    `json:"queued"`  // Tasks accepted by the agent that have not started.
	Running int    `json:"running"` // Tasks that have started and not finished.
	Serial  uint64 `json:"serial"`  // Grows with every change; an older report is dropped.
}

// An EntryRef names one incarnation of an entry.
type EntryRef struct {
	Incarnation uint64 `json:"incarnation"`
	Name        string `json:"name"`
}
