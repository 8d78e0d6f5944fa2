package pollenfront

import "time"

// An Announcement describes a backend server, as the server itself reports it
// to the agent beside it.
type Announcement struct {
	// Capacity is the total amount of resources that tasks may use.
	Capacity Resources `json:"capacity"`
	// Clock is the reading of the server's clock, which counts from the start
	// of the server's current incarnation.
	Clock time.Duration `json:"-"`
	// Draining is set while the server finishes its tasks and takes no new ones.
	Draining bool `json:"draining"`
	// Instance is the ID under which the server registers. Requests to the
	// server name it, so that another incarnation rejects them.
	Instance string `json:"instance"`
	// Labels name the server's kind and rack.
	Labels []string `json:"labels"`
	// Incarnation is higher after every restart of the server.
	Incarnation uint64 `json:"incarnation"`
	// SeqNum grows with each announcement of one incarnation, so that delayed
	// announcements can be recognized.
	SeqNum uint64 `json:"-"`
	// Zone is the availability zone of the server.
	Zone string `json:"zone"`
}
