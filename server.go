package pollenfront

// An AgentRef names one incarnation of a backend server's agent.
type AgentRef struct {
	Incarnation uint64 `json:"incarnation"`
	Name        string `json:"name"`
}

// An EntryRef names one incarnation of an entry.
type EntryRef struct {
	Incarnation uint64 `json:"incarnation"`
	Name        string `json:"name"`
}
