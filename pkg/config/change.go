package config

import (
	"fmt"
	"maps"
	"time"

	"github.com/google/uuid"
)

// Op is the operation of an edit.
type Op string

// The operations of an edit.
const (
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
)

// Edit creates, updates or deletes one entity of type T. Value is nil if Op is
// OpDelete.
type Edit[T any] struct {
	Op    Op     `json:"op"`
	Name  string `json:"name"`
	Value *T     `json:"value,omitempty"`
}

// Create returns an edit that creates the entity.
func Create[T any](name string, value T) *Edit[T] {
	return &Edit[T]{Op: OpCreate, Name: name, Value: &value}
}

// Update returns an edit that replaces the entity.
func Update[T any](name string, value T) *Edit[T] {
	return &Edit[T]{Op: OpUpdate, Name: name, Value: &value}
}

// Delete returns an edit that deletes the entity.
func Delete[T any](name string) *Edit[T] {
	return &Edit[T]{Op: OpDelete, Name: name}
}

// Action is the edit that a change makes. Exactly one field is set.
type Action struct {
	Account *Edit[Account] `json:"account,omitempty"`
	Key     *Edit[Key]     `json:"key,omitempty"`
	Route   *Edit[Route]   `json:"route,omitempty"`
	Shift   *Edit[Shift]   `json:"shift,omitempty"`
	Drain   *Edit[Drain]   `json:"drain,omitempty"`
}

// Change is one step from a version of the configuration to the next.
type Change struct {
	// ID identifies the change in the log if the outcome of its write is unknown.
	ID uuid.UUID `json:"id"`
	// Version is the version of the configuration after the change.
	Version int64     `json:"version"`
	Time    time.Time `json:"time"`
	Action  Action    `json:"action"`
}

// Kind is a type of entity.
type Kind string

// The kinds of entity.
const (
	KindAccount Kind = "account"
	KindKey     Kind = "key"
	KindRoute   Kind = "route"
	KindShift   Kind = "shift"
	KindDrain   Kind = "drain"
)

// Entity identifies one entity of a configuration.
type Entity struct {
	Kind Kind
	Name string
}

// String returns the entity in the form used in error messages.
func (e Entity) String() string { return fmt.Sprintf("%s %q", e.Kind, truncate(e.Name)) }

// Subject returns the entity that the action edits and the operation. Errors:
// ErrInvalid if the action does not have exactly one edit, or the edit is
// malformed.
func (a Action) Subject() (Entity, Op, error) {
	var found []untypedEdit
	found = appendEdit(found, KindAccount, a.Account)
	found = appendEdit(found, KindKey, a.Key)
	found = appendEdit(found, KindRoute, a.Route)
	found = appendEdit(found, KindShift, a.Shift)
	found = appendEdit(found, KindDrain, a.Drain)
	if len(found) != 1 {
		return Entity{}, "", fmt.Errorf("change has %d actions, must have 1: %w", len(found), ErrInvalid)
	}
	s := found[0]
	if s.op != OpCreate && s.op != OpUpdate && s.op != OpDelete {
		return Entity{}, "", fieldError(s.entity, "op", s.op, "must be create, update or delete")
	}
	if s.hasValue != (s.op != OpDelete) {
		return Entity{}, "", fmt.Errorf("%v: %s with the wrong value: %w", s.entity, s.op, ErrInvalid)
	}
	return s.entity, s.op, nil
}

// untypedEdit describes an Edit of any entity type.
type untypedEdit struct {
	entity   Entity
	op       Op
	hasValue bool
}

func appendEdit[T any](found []untypedEdit, kind Kind, e *Edit[T]) []untypedEdit {
	if e == nil {
		return found
	}
	return append(found, untypedEdit{entity: Entity{Kind: kind, Name: e.Name}, op: e.Op, hasValue: e.Value != nil})
}

// SameEntity reports whether the entity is the same in c and d. It compares pointers:
// Apply keeps the pointer of every entity that a change does not edit.
func (c *Config) SameEntity(d *Config, e Entity) bool {
	switch e.Kind {
	case KindAccount:
		return c.Accounts[e.Name] == d.Accounts[e.Name]
	case KindKey:
		return c.Keys[e.Name] == d.Keys[e.Name]
	case KindRoute:
		return c.Routes[e.Name] == d.Routes[e.Name]
	case KindShift:
		return c.Shifts[e.Name] == d.Shifts[e.Name]
	case KindDrain:
		return c.Drains[e.Name] == d.Drains[e.Name]
	default:
		return false
	}
}

// Apply returns the configuration after the change. It copies only the maps that
// the change modifies, and does not modify c. Errors: *VersionError,
// *FieldError, *EntityError, ErrInvalid.
func (c *Config) Apply(ch Change) (*Config, error) {
	if ch.Version != c.Version+1 {
		return nil, &VersionError{Have: c.Version, Change: ch.Version}
	}
	if _, _, err := ch.Action.Subject(); err != nil {
		return nil, err
	}
	next := *c
	next.Version = ch.Version
	if err := next.applyAction(ch.Action); err != nil {
		return nil, err
	}
	return &next, nil
}

// applyAction replaces the maps that the action modifies.
func (c *Config) applyAction(a Action) error {
	var err error
	switch {
	case a.Account != nil:
		err = c.editAccount(a.Account)
	case a.Key != nil:
		err = c.editKey(a.Key)
	case a.Route != nil:
		c.Routes, err = apply(c.Routes, KindRoute, a.Route, func(v *Route) error { return v.validate(c) })
	case a.Shift != nil:
		c.Shifts, err = apply(c.Shifts, KindShift, a.Shift, func(v *Shift) error { return v.validate(c) })
	case a.Drain != nil:
		c.Drains, err = apply(c.Drains, KindDrain, a.Drain, (*Drain).validate)
	}
	return err
}

// editAccount applies the edit. Deleting an account also deletes its keys.
func (c *Config) editAccount(e *Edit[Account]) error {
	accounts, err := apply(c.Accounts, KindAccount, e, (*Account).validate)
	if err != nil {
		return err
	}
	c.Accounts = accounts
	if e.Op != OpDelete {
		return nil
	}
	c.Keys = maps.Clone(c.Keys)
	maps.DeleteFunc(c.Keys, func(_ string, k *Key) bool { return k.Account == e.Name })
	return nil
}

// editKey applies the edit. It refuses updates: a key is granted and withdrawn,
// never changed.
func (c *Config) editKey(e *Edit[Key]) error {
	if e.Op == OpUpdate {
		return fmt.Errorf("%v cannot be updated: %w", Entity{KindKey, e.Name}, ErrInvalid)
	}
	keys, err := apply(c.Keys, KindKey, e, func(v *Key) error { return v.validate(c) })
	if err != nil {
		return err
	}
	c.Keys = keys
	return nil
}

// apply returns a copy of entities with the edit applied.
func apply[T any, P interface {
	*T
	name() string
}](entities map[string]P, kind Kind, e *Edit[T], validate func(P) error) (map[string]P, error) {
	entity := Entity{Kind: kind, Name: e.Name}
	if err := checkExists(entity, e.Op, entities[e.Name] != nil); err != nil {
		return nil, err
	}
	if e.Op == OpDelete {
		next := maps.Clone(entities)
		delete(next, e.Name)
		return next, nil
	}
	value := P(e.Value)
	if value.name() != e.Name {
		return nil, fieldError(entity, "name", value.name(), "does not match the name of the edit")
	}
	if err := validate(value); err != nil {
		return nil, err
	}
	next := maps.Clone(entities)
	next[e.Name] = value
	return next, nil
}

// checkExists refuses to create an entity that exists, and to update or delete one
// that does not.
func checkExists(e Entity, op Op, exists bool) error {
	if op == OpCreate && exists {
		return &EntityError{Entity: e, Err: ErrExists}
	}
	if op != OpCreate && !exists {
		return &EntityError{Entity: e, Err: ErrNotFound}
	}
	return nil
}
