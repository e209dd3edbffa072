package storage

import (
	"cmp"
	"fmt"
)

// Version is a point in the history of the platform's store. Versions are ordered by era first: a
// store that was restored from a copy assigns the numbers after that copy again.
type Version struct {
	// Era counts the times that the store was restored from a copy.
	Era int64
	// Number counts the store's transactions. In a condition, 0 means that the row must not
	// exist, whatever the era.
	Number int64
}

// Compare returns -1 if v is older than w, +1 if it is newer, and 0 if they are equal.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Number, w.Number))
}

// Before reports whether v is older than w.
func (v Version) Before(w Version) bool { return v.Compare(w) < 0 }

// String returns "era.number", the form in which logs show versions.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Era, v.Number) }

// Latest returns the newer of two versions.
func Latest(v, w Version) Version {
	if v.Before(w) {
		return w
	}
	return v
}
