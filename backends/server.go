package backends

import "time"

// Server is a backend server as published.
type Server struct {
	// ID identifies the server. A server that starts again may keep it.
	ID string
	// Started is when the server started, in Unix milliseconds by its own clock;
	// zero if not published. With ID, it identifies one incarnation.
	Started int64
	// Service is the name of the service.
	Service string
	// Address is the IP:port where the server accepts requests.
	Address string
	// Zone is the availability zone.
	Zone string
	// Slots is how many requests the server can run concurrently.
	Slots int
	// Draining servers get no new requests.
	Draining bool
	// ColdRemaining is for how long the server stays cold, as its entry stated when it
	// arrived; zero if it does not say so.
	ColdRemaining time.Duration
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
	Open bool
	// Running is the number of requests that hold a slot, Waiting the number that
	// wait for one.
	Running int
	Waiting int
	// LastPass is the number of the last pass that the group started.
	LastPass uint64
	// PassTime is the recent duration of a pass of the group; zero if not known.
	PassTime time.Duration
	// RelativePassTime is the duration of a pass relative to the usual one;
	// above 1 is slower.
	RelativePassTime float64
	// ReceivedAt is when the status arrived or, if it says when the server was read,
	// the local time of that read as far as it can be told.
	ReceivedAt time.Time
	// ReadStamp orders the statuses of one server: a later read has a greater stamp. It
	// is zero if not known.
	ReadStamp int64

	// progressAt is when the rank last started a pass or had no requests.
	progressAt time.Time
	// ownRequests is the number of requests of this process at the server when the status
	// arrived.
	ownRequests int
}

// Group identifies a group of ranks during one epoch, and one rank in it.
type Group struct {
	Name string
	// Epoch increases each time the group forms again, for example with a restarted
	// rank.
	Epoch uint64
	// Rank is the number of the rank in the group, Size the number of ranks.
	Rank int
	Size int
}

// Load is the load that a server stated in a response: the numbers of requests that
// run and that wait, and of its slots.
type Load struct {
	Running, Waiting, Slots int
}
