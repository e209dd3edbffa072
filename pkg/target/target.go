// Package target describes the targets, the processes that run requests, and
// tracks this VM's view of their state.
package target

// Target is one process that runs requests.
type Target struct {
	ID string
	// Address is the host:port of its HTTP listener.
	Address       string
	Region        string
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Connections is the number of connections that it accepts from all VMs together.
	Connections int
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name    string
	Targets []Target
	// RequireEcho requires the request ID on every response. If it is false, the
	// ID is checked only on responses that have one.
	RequireEcho bool
}
