package queue

import "container/list"

// class schedules the entries of one priority class by weighted deficit round robin
// over client accounts.
type class[V any] struct {
	accounts map[string]*account[V]
	// rotation holds the accounts that have entries; the front one is served next.
	rotation list.List
	length   int
	// credit is the cost that the class has earned through its minimum share. Serving
	// an entry by credit spends it.
	credit float64
}

// account holds the entries of one client account, oldest first.
type account[V any] struct {
	name   string
	weight int
	// deficit is the cost that the account may still use in the current round;
	// weightAdded is true once the round has added the account's weight to it.
	deficit         float64
	weightAdded     bool
	entries         list.List
	rotationElement *list.Element
}

func (c *class[V]) push(e *Entry[V]) {
	a := c.accounts[e.Account]
	if a == nil {
		a = &account[V]{name: e.Account}
		a.rotationElement = c.rotation.PushBack(a)
		c.accounts[e.Account] = a
	}
	a.weight = max(e.Weight, 1)
	e.owner = a
	e.element = a.entries.PushBack(e)
	c.length++
}

// front returns the entry that pop would remove. The class must not be empty.
func (c *class[V]) front() *Entry[V] {
	return c.nextAccount().entries.Front().Value.(*Entry[V])
}

// nextAccount returns the account to serve next: the first one whose deficit covers the
// cost of its oldest entry. An account whose deficit is too small gets its weight
// added once; if that is not enough, it moves to the back of the rotation.
func (c *class[V]) nextAccount() *account[V] {
	for {
		a := c.rotation.Front().Value.(*account[V])
		cost := a.entries.Front().Value.(*Entry[V]).cost()
		if a.deficit >= cost {
			return a
		}
		if !a.weightAdded {
			a.weightAdded = true
			a.deficit += float64(a.weight)
			continue
		}
		a.weightAdded = false
		c.rotation.MoveToBack(a.rotationElement)
	}
}

// pop removes and returns the next entry to serve. The class must not be empty.
func (c *class[V]) pop() *Entry[V] {
	a := c.nextAccount()
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
		c.rotation.Remove(a.rotationElement)
		a.rotationElement = nil
		delete(c.accounts, a.name)
	}
}

// newestOfLongest returns the newest entry of the account with the most entries relative
// to its weight, counting the arriving entry. It returns nil if that is the
// arriving entry's own account.
func (c *class[V]) newestOfLongest(arriving *Entry[V]) *Entry[V] {
	longest := 1 / float64(max(arriving.Weight, 1))
	if own := c.accounts[arriving.Account]; own != nil {
		longest = float64(own.entries.Len()+1) / float64(max(arriving.Weight, 1))
	}
	var victim *Entry[V]
	// Iterating in the order of the list makes the choice between equal accounts
	// deterministic.
	for t := c.rotation.Front(); t != nil; t = t.Next() {
		a := t.Value.(*account[V])
		if a.name == arriving.Account {
			continue
		}
		if load := float64(a.entries.Len()) / float64(a.weight); load > longest {
			longest = load
			victim = a.entries.Back().Value.(*Entry[V])
		}
	}
	return victim
}

// appendEntries appends the entries to dst, taking one of each account per round.
func (c *class[V]) appendEntries(dst []*Entry[V]) []*Entry[V] {
	cursors := make([]*list.Element, 0, c.rotation.Len())
	for t := c.rotation.Front(); t != nil; t = t.Next() {
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
