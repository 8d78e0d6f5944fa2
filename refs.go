package pollenfront

// An AgentRef identifies one incarnation of the agent beside a backend server. A
// restarted agent keeps its name and has a higher incarnation.
type AgentRef struct {
	Incarnation uint64 `json:"incarnation"`
	Name        string `json:"name"`
}

// An EntryRef identifies one incarnation of an entry. A restarted entry keeps its
// name and has a higher incarnation.
type EntryRef struct {
	Incarnation uint64 `json:"incarnation"`
	Name        string `json:"name"`
}
