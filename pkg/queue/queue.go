// Package queue orders requests that wait for a permit: by priority class,
// inside a class by weighted deficit round robin over client accounts. It is a
// pure state machine; its owner supplies the time and the locking.
package queue

import (
	"container/list"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
)

// Class is the rank of a priority; lower ones are served first.
type Class uint8

// The classes in the order in which they are served.
const (
	High Class = iota
	Normal
	Low
	classes
)

// ClassOf returns the class of a priority; unknown ones are Normal.
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
	// Weight is the account's part under contention; less than 1 counts as 1.
	Weight int
	Class  Class
	// Cost is how much of the capacity its service takes, 1 being usual; 0
	// counts as 1.
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

// Queued reports whether the entry still waits.
func (e *Entry[V]) Queued() bool { return e.element != nil }

// Config bounds a queue.
type Config struct {
	// Capacity is how many entries one class may hold.
	Capacity int
	// Floors is the part of the capacity that a class gets at least while it
	// has entries, however many wait in the classes above it.
	Floors [3]float64
}

// DefaultFloors keep the lower classes from starvation.
var DefaultFloors = [3]float64{High: 0, Normal: 0.1, Low: 0.05}

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

// Push adds an entry. Where its class is full, the account with the most
// entries for its weight loses its newest one, which is returned; that may be
// the pushed entry itself.
func (q *Queue[V]) Push(e *Entry[V]) (dropped *Entry[V]) {
	cl := &q.classes[e.Class]
	if cl.length >= q.config.Capacity {
		victim := cl.longest(e)
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

// Remove takes an entry out; it does nothing where the entry does not wait.
func (q *Queue[V]) Remove(e *Entry[V]) {
	if !e.Queued() {
		return
	}
	q.classes[e.Class].remove(e)
	q.length--
}

// Pop takes the next entry out, or returns nil. Entries that have expired
// are taken out on the way and returned apart.
func (q *Queue[V]) Pop(now clock.Time) (next *Entry[V], expired []*Entry[V]) {
	for q.length > 0 {
		e := q.classes[q.nextClass()].pop()
		q.length--
		if now.Before(e.Expires) {
			return e, expired
		}
		expired = append(expired, e)
	}
	return nil, expired
}

// Entries returns the waiting entries by class, and inside a class one of each
// account in turn.
func (q *Queue[V]) Entries() []*Entry[V] {
	all := make([]*Entry[V], 0, q.length)
	for c := range q.classes {
		all = q.classes[c].appendEntries(all)
	}
	return all
}

// Peek returns the entry that Pop would take out next, expired or not, or nil.
func (q *Queue[V]) Peek() *Entry[V] {
	if q.length == 0 {
		return nil
	}
	c, _ := q.choose()
	return q.classes[c].front()
}

// nextClass returns the class to serve and settles the credits. Each service
// credits the waiting classes with their floor of its cost; a class whose
// credit pays for its next entry goes first, the others strictly by rank.
func (q *Queue[V]) nextClass() Class {
	next, owed := q.choose()
	cost := q.classes[next].front().cost()
	for c := range classes {
		cl := &q.classes[c]
		if cl.length == 0 {
			cl.credit = 0
			continue
		}
		cl.credit += q.config.Floors[c] * cost
	}
	if owed {
		q.classes[next].credit -= cost
	}
	return next
}

// choose returns the class to serve, and whether its credit is used for it.
func (q *Queue[V]) choose() (next Class, owed bool) {
	next = classes
	for c := range classes {
		cl := &q.classes[c]
		if cl.length == 0 {
			continue
		}
		if q.config.Floors[c] > 0 && cl.credit >= cl.front().cost() {
			next, owed = c, true
		} else if next == classes {
			next = c
		}
	}
	return next, owed
}
