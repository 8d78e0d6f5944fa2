package pollenfront

import "time"

// An Announcement is what a backend server says of itself.
type Announcement struct {
	Capacity    Resources     `json:"capacity"`
	Clock       time.Duration `json:"-"` // Of the server, since the start of its present incarnation.
	Draining    bool          `json:"draining"`
	Instance    string        `json:"instance"`
	Labels      []string      `json:"labels"`      // Of its kind and its rack.
	Incarnation uint64        `json:"incarnation"` // Incarnation of the server; a restarted one has a higher one.
	Sequence    uint64        `json:"-"`           // Grows with each announcement of one incarnation.
	Zone        string        `json:"zone"`
}
