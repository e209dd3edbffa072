package queue

import "container/list"

// class is the weighted deficit round robin of one priority class.
type class[V any] struct {
	accounts map[string]*account[V]
	// turns holds the accounts that have entries; its front is served next.
	turns  list.List
	length int
	credit float64
}

// account holds the entries of one client account, the oldest in front.
type account[V any] struct {
	name   string
	weight int
	// deficit is what the account may still take in its turn, in cost;
	// credited is set once the turn has added its weight.
	deficit  float64
	credited bool
	entries  list.List
	turn     *list.Element
}

func (c *class[V]) push(e *Entry[V]) {
	a := c.accounts[e.Account]
	if a == nil {
		a = &account[V]{name: e.Account}
		a.turn = c.turns.PushBack(a)
		c.accounts[e.Account] = a
	}
	a.weight = max(e.Weight, 1)
	e.owner = a
	e.element = a.entries.PushBack(e)
	c.length++
}

// front returns the entry that pop takes out. The class must not be empty.
func (c *class[V]) front() *Entry[V] {
	return c.turn().entries.Front().Value.(*Entry[V])
}

// turn returns the account to serve. An account in front that cannot pay for
// its oldest entry gets its weight and, if that does not suffice, goes to the
// back, until one can.
func (c *class[V]) turn() *account[V] {
	for {
		a := c.turns.Front().Value.(*account[V])
		cost := a.entries.Front().Value.(*Entry[V]).cost()
		if a.deficit >= cost {
			return a
		}
		if !a.credited {
			a.credited = true
			a.deficit += float64(a.weight)
			continue
		}
		a.credited = false
		c.turns.MoveToBack(a.turn)
	}
}

// pop takes out the entry whose turn it is.
func (c *class[V]) pop() *Entry[V] {
	a := c.turn()
	e := a.entries.Front().Value.(*Entry[V])
	a.deficit -= e.cost()
	c.remove(e)
	return e
}

func (c *class[V]) remove(e *Entry[V]) {
	a := e.owner
	a.entries.Remove(e.element)
	e.element, e.owner = nil, nil
	c.length--
	if a.entries.Len() == 0 {
		c.turns.Remove(a.turn)
		a.turn = nil
		delete(c.accounts, a.name)
	}
}

// longest returns the newest entry of the account with the most entries for
// its weight, counting the arriving one; nil where the arriving one is of
// that account.
func (c *class[V]) longest(arriving *Entry[V]) *Entry[V] {
	most := 1 / float64(max(arriving.Weight, 1))
	if own := c.accounts[arriving.Account]; own != nil {
		most = float64(own.entries.Len()+1) / float64(max(arriving.Weight, 1))
	}
	var victim *Entry[V]
	// The order of turns makes the choice among equals reproducible.
	for t := c.turns.Front(); t != nil; t = t.Next() {
		a := t.Value.(*account[V])
		if a.name == arriving.Account {
			continue
		}
		if load := float64(a.entries.Len()) / float64(a.weight); load > most {
			most = load
			victim = a.entries.Back().Value.(*Entry[V])
		}
	}
	return victim
}

// appendEntries appends the entries to dst, one of each account in turn.
func (c *class[V]) appendEntries(dst []*Entry[V]) []*Entry[V] {
	cursors := make([]*list.Element, 0, c.turns.Len())
	for t := c.turns.Front(); t != nil; t = t.Next() {
		cursors = append(cursors, t.Value.(*account[V]).entries.Front())
	}
	for len(cursors) > 0 {
		next := cursors[:0]
		for _, e := range cursors {
			dst = append(dst, e.Value.(*Entry[V]))
			if e = e.Next(); e != nil {
				next = append(next, e)
			}
		}
		cursors = next
	}
	return dst
}
