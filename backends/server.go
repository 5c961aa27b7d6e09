package backends

import "time"

// Server is a backend server as published.
type Server struct {
	// ID identifies one incarnation of the server.
	ID      string
	Service string
	// Address is the IP:port where the server accepts requests.
	Address string
	Zone    string
	// Slots is how many requests the server runs concurrently.
	Slots int
	// Draining servers get no new requests.
	Draining bool
	// Group identifies the group of a rank; its name is empty for other servers.
	// Open says that the group accepts requests.
	Group Group
	Open  bool
}

// Status is the state of a model server as read by the agent next to it.
type Status struct {
	// Up says that the server answered the agent.
	Up    bool
	Group Group
	// Open says that the group accepts requests.
	Open    bool
	Running int
	Waiting int
	// LastPass is the number of the last pass that the group started.
	LastPass uint64
	// PassTime is the recent duration of a pass of the group; zero if not known.
	PassTime time.Duration
	// RelativePassTime is the duration of a pass relative to the usual one;
	// above 1 is slower.
	RelativePassTime float64
	// ReceivedAt is when the status arrived.
	ReceivedAt time.Time

	// progressAt is when the rank last started a pass or had no requests.
	progressAt time.Time
}

// Group identifies a group of ranks during one epoch, and one rank in it.
type Group struct {
	Name  string
	Epoch uint64
	Rank  int
	Size  int
}

// Load is the load that a server stated in a response.
type Load struct {
	Running, Waiting, Slots int
}
