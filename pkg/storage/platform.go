// Package storage declares the external services that hold the fleet's state: a
// transactional table, an object store and a list of VMs. Package platform
// implements the first two, package directory the list.
package storage

import (
	"context"
	"errors"
	"fmt"
)

var (
	// ErrNotFound reports that the item or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable reports that the service could not be reached, or refused
	// the call before doing anything. A write that fails with it had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrIndeterminate reports that the response to a write was lost: the write
	// may or may not have taken effect. Callers find out by reading back.
	ErrIndeterminate = errors.New("write outcome unknown")
)

// ConflictError reports a transaction with at least one failed condition. None
// of its writes took effect.
type ConflictError struct {
	// Failed holds the indexes of the writes whose condition failed. It is empty
	// if the service refused the transaction because of a concurrent one.
	Failed []int
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition failed for writes %v", e.Failed)
}

// MaxTransactWrites is the largest number of writes in one transaction. The
// platform's store takes 100 entries, and each write has a condition of its own.
const MaxTransactWrites = 50

// Key identifies an item. The items of a partition are listed in order of Sort.
type Key struct {
	Partition string
	Sort      string
}

// Item is one row of the table.
type Item struct {
	Key
	// Revision is 1 when the item is created and increases by 1 with each write.
	Revision int64
	Value    []byte
}

// Write is one conditional write of a transaction.
type Write struct {
	Key
	// IfRevision is the revision that the item must have; 0 means that it must
	// not exist. The write sets the revision to IfRevision+1.
	IfRevision int64
	// Delete removes the item instead of writing Value.
	Delete bool
	Value  []byte
}

// Table is a transactional table with strongly consistent reads. Its methods
// are safe for concurrent use.
type Table interface {
	// Get reads one item. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key Key) (Item, error)
	// List reads up to limit items of a partition whose Sort is greater than
	// after, in order of Sort. Errors: ErrUnavailable.
	List(ctx context.Context, partition, after string, limit int) ([]Item, error)
	// Transact applies all writes or none of them. Errors: *ConflictError,
	// ErrUnavailable, ErrIndeterminate.
	Transact(ctx context.Context, writes []Write) error
}

// Objects is an object store. Its methods are safe for concurrent use.
type Objects interface {
	// Get reads a whole object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put creates or replaces an object. Errors: ErrUnavailable, ErrIndeterminate.
	Put(ctx context.Context, name string, data []byte) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list. The list lags behind the actual state.
type VM struct {
	ID string `json:"id"`
	// PeerAddress is the host:port of the VM's peer protocol.
	PeerAddress string  `json:"peer_address"`
	State       VMState `json:"state"`
}

// Directory is the platform's list of VMs.
type Directory interface {
	// VMs returns the live and leaving VMs. The ID of a removed VM is not used
	// again. Errors: ErrUnavailable.
	VMs(ctx context.Context) ([]VM, error)
}
