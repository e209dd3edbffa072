// Package queue orders requests that wait for a permit: by priority class, and
// within a class by weighted deficit round robin over client accounts. It is a
// pure state machine; the caller supplies the time and the locking.
package queue

import (
	"container/list"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
)

// Class is a priority class; lower values are served first.
type Class uint8

// The classes in the order in which they are served.
const (
	High Class = iota
	Normal
	Low
	classes
)

// ClassOf returns the class of a priority. Unknown priorities are Normal.
func ClassOf(p config.Priority) Class {
	switch p {
	case config.PriorityHigh:
		return High
	case config.PriorityLow:
		return Low
	default:
		return Normal
	}
}

// Entry is a waiting request.
type Entry[V any] struct {
	Account string
	// Weight is the account's relative share under contention; less than 1 counts as 1.
	Weight int
	Class  Class
	// Cost is the capacity that the request takes, relative to a usual request;
	// 0 counts as 1.
	Cost float64
	// Expires is when the entry stops waiting.
	Expires clock.Time
	Value   V

	element *list.Element
	owner   *account[V]
}

func (e *Entry[V]) cost() float64 {
	if e.Cost <= 0 {
		return 1
	}
	return e.Cost
}

// Queued reports whether the entry is in a queue.
func (e *Entry[V]) Queued() bool { return e.element != nil }

// Config bounds a queue.
type Config struct {
	// Capacity is the number of entries that each class can hold.
	Capacity int
	// MinShares is the minimum fraction of the served capacity that each class gets
	// while it has entries, however many entries wait in higher classes.
	MinShares [3]float64
}

// DefaultMinShares protect the lower classes from starvation.
var DefaultMinShares = [3]float64{High: 0, Normal: 0.1, Low: 0.05}

// Queue holds the entries of one pool. It is not safe for concurrent use.
type Queue[V any] struct {
	config  Config
	classes [classes]class[V]
	length  int
}

// New returns an empty queue.
func New[V any](c Config) *Queue[V] {
	q := &Queue[V]{config: c}
	for i := range q.classes {
		q.classes[i].accounts = map[string]*account[V]{}
	}
	return q
}

// Len returns the number of entries.
func (q *Queue[V]) Len() int { return q.length }

// LenClass returns the number of entries in one class.
func (q *Queue[V]) LenClass(c Class) int { return q.classes[c].length }

// Push adds an entry. If its class is full, it drops and returns the newest entry
// of the account with the most entries relative to its weight, which may be the
// pushed entry itself.
func (q *Queue[V]) Push(e *Entry[V]) (dropped *Entry[V]) {
	cl := &q.classes[e.Class]
	if cl.length >= q.config.Capacity {
		victim := cl.newestOfLongest(e)
		if victim == nil {
			return e
		}
		q.Remove(victim)
		dropped = victim
	}
	cl.push(e)
	q.length++
	return dropped
}

// Remove removes an entry. It does nothing if the entry is not queued.
func (q *Queue[V]) Remove(e *Entry[V]) {
	if !e.Queued() {
		return
	}
	q.classes[e.Class].remove(e)
	q.length--
}

// Pop removes and returns the next entry that has not expired, or nil. It also
// removes the expired entries before it and returns them separately.
func (q *Queue[V]) Pop(now clock.Time) (next *Entry[V], expired []*Entry[V]) {
	for q.length > 0 {
		e := q.classes[q.takeClass()].pop()
		q.length--
		if now.Before(e.Expires) {
			return e, expired
		}
		expired = append(expired, e)
	}
	return nil, expired
}

// Entries returns the queued entries by class. Within a class it takes one entry of
// each account per round.
func (q *Queue[V]) Entries() []*Entry[V] {
	all := make([]*Entry[V], 0, q.length)
	for c := range q.classes {
		all = q.classes[c].appendEntries(all)
	}
	return all
}

// Peek returns the entry that Pop would remove next, expired or not, or nil.
func (q *Queue[V]) Peek() *Entry[V] {
	if q.length == 0 {
		return nil
	}
	c, _ := q.selectClass()
	return q.classes[c].front()
}

// takeClass returns the class to serve and updates the credits. Each served entry
// adds its cost times the class's minimum share to the credit of every class with
// entries. A class whose credit covers its next entry is served first; otherwise the
// classes are served in strict priority order.
func (q *Queue[V]) takeClass() Class {
	next, byCredit := q.selectClass()
	cost := q.classes[next].front().cost()
	for c := range classes {
		cl := &q.classes[c]
		if cl.length == 0 {
			cl.credit = 0
			continue
		}
		cl.credit += q.config.MinShares[c] * cost
	}
	if byCredit {
		q.classes[next].credit -= cost
	}
	return next
}

// selectClass returns the class to serve, and whether its credit pays for the entry.
func (q *Queue[V]) selectClass() (next Class, byCredit bool) {
	next = classes
	for c := range classes {
		cl := &q.classes[c]
		if cl.length == 0 {
			continue
		}
		if q.config.MinShares[c] > 0 && cl.credit >= cl.front().cost() {
			next, byCredit = c, true
		} else if next == classes {
			next = c
		}
	}
	return next, byCredit
}
