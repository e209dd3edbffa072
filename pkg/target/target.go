// Package target describes the back ends that requests are sent to.
package target

// Target is one back-end process that runs requests.
type Target struct {
	ID string
	// Address is the host:port of its HTTP listener.
	Address       string
	Region        string
	FailureDomain string
	// Slots is how many requests it runs at once.
	Slots int
	// Connections is how many connections it accepts from all VMs together.
	Connections int
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name    string
	Targets []Target
	// RequireEcho demands that every answer carries the request id; without
	// it an answer is checked only where it carries one.
	RequireEcho bool
}
