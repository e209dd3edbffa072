// Package capacity divides the memory and the descriptors of a VM among the uses that clients control, so
// that no client can make the process exceed them.
package capacity

const (
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200

	// connBytes is the memory of a connection whose request is in flight, without header and bodies:
	// goroutines, buffers and the connection to the target.
	connBytes = 48 << 10
	// tunnelBytes is the memory of a connection that is carried for another VM.
	tunnelBytes = 24 << 10
	// maxTunnels bounds the connections that are carried for other VMs at once.
	maxTunnels = 600

	mebibyte = 1 << 20
)

// SocketsPerConn is the number of sockets of a caller's connection with a request in flight, and of a tunnel.
const SocketsPerConn = 2

// Plan is what clients may occupy of a VM. Its budgets are safe for concurrent use.
type Plan struct {
	// MemoryBytes is the soft limit for the memory of the Go runtime.
	MemoryBytes int64
	// Sockets are those of callers' connections, of the connections to targets that their requests need,
	// and of tunnels.
	Sockets *Budget
	// CallerConns is the largest number of callers' connections, and LocateConns, PeerConns and OtherConns
	// those of the other listeners.
	CallerConns, LocateConns, PeerConns, OtherConns int
	// Tunnels is the largest number of connections that are carried for other VMs.
	Tunnels int
	// Headers is the memory of headers that are being read, Requests that of the headers and buffered
	// bodies of requests in flight, and Responses that of buffered responses.
	Headers, Requests, Responses *Budget
}

// NewPlan returns the plan for a VM with a memory in MiB and a number of descriptors. docs/CAPACITY.md has the
// sums.
func NewPlan(memoryMB, descriptors int) *Plan {
	memory, sockets := int64(memoryMB)*mebibyte, descriptors-reservedDescriptors
	return &Plan{
		MemoryBytes: memory * 4 / 5,
		Sockets:     NewBudget(int64(sockets) * 5 / 8),
		CallerConns: min(int(memory/4/connBytes), sockets*5/8/SocketsPerConn),
		LocateConns: sockets / 32,
		PeerConns:   sockets / 8,
		OtherConns:  sockets / 64,
		Tunnels:     min(maxTunnels, int(memory/16/tunnelBytes), sockets*5/8/SocketsPerConn),
		Headers:     NewBudget(memory / 16),
		Requests:    NewBudget(memory / 8),
		Responses:   NewBudget(memory / 8),
	}
}
