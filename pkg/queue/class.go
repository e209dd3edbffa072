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
	name    string
	weight  int
	deficit int
	entries list.List
	turn    *list.Element
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
	return c.turns.Front().Value.(*account[V]).entries.Front().Value.(*Entry[V])
}

// pop serves the account in front: it keeps its turn for as many entries as
// its weight. The class must not be empty.
func (c *class[V]) pop() *Entry[V] {
	a := c.turns.Front().Value.(*account[V])
	if a.deficit <= 0 {
		a.deficit += a.weight
	}
	a.deficit--
	e := a.entries.Front().Value.(*Entry[V])
	c.remove(e)
	if a.turn != nil && a.deficit <= 0 {
		c.turns.MoveToBack(a.turn)
	}
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
