package settings

// Limits are the resources of the VM that the process may use. What callers can occupy, such as
// connections and buffers, is bounded by fractions of them; docs/CAPACITY.md lists the fractions.
type Limits struct {
	// MemoryMB is the memory that the process may use, in MiB. If it is too high, clients that send
	// long headers or read slowly can make the process run out of memory. The default is 256.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the number of file descriptors that the process may open. If it is too high,
	// idle clients can leave none for connections to targets, peers and the store. The default is
	// 4096.
	Descriptors int `json:"descriptors"`
}

const (
	defaultMemoryMB    = 256
	defaultDescriptors = 4096
	// minMemoryMB and minDescriptors leave room for a process without callers.
	minMemoryMB    = 48
	minDescriptors = 256
)

func (l *Limits) setDefaults() {
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Descriptors == 0 {
		l.Descriptors = defaultDescriptors
	}
}

func (l *Limits) check() error {
	if l.MemoryMB < minMemoryMB {
		return invalid("limits.memory_mb", "%d is less than %d", l.MemoryMB, minMemoryMB)
	}
	if l.Descriptors < minDescriptors {
		return invalid("limits.descriptors", "%d is less than %d", l.Descriptors, minDescriptors)
	}
	return nil
}
