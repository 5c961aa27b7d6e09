package backends

import "time"

// Server is a backend server as published.
type Server struct {
	// ID names one incarnation of the server.
	ID      string
	Service string
	// Address is where it takes requests, IP:port.
	Address string
	Zone    string
	// Slots is how many requests it runs side by side.
	Slots int
	// Draining servers get no new requests.
	Draining bool
	// Group is where a rank belongs, with an empty name for other servers; Open
	// says that the group takes requests.
	Group Group
	Open  bool
}

// Status is what the agent beside a model server read from it.
type Status struct {
	// Up says that the server answered.
	Up    bool
	Group Group
	// Open says that the group takes requests.
	Open    bool
	Running int
	Waiting int
	// Step is the last pass that the group began.
	Step uint64
	// Pass is how long a pass of the group takes lately; zero if not known.
	Pass time.Duration
	// Pace is the time of a pass against the usual; over 1 is slow.
	Pace float64
	// At is when the status arrived.
	At time.Time

	// stepped is when a pass was seen last, or the rank was idle.
	stepped time.Time
}

// Group names a group of ranks in one life.
type Group struct {
	Name  string
	Epoch uint64
	Rank  int
	Size  int
}

// Load is what a server said of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}
