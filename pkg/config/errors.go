package config

import "fmt"

// maxShown is how many bytes of a refused value an error message shows.
const maxShown = 64

// FieldError reports a field whose value the configuration cannot hold.
// It unwraps to ErrInvalid.
type FieldError struct {
	Entity Entity
	Field  string
	// Value is the refused value, shortened.
	Value  string
	Reason string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%v: %s %q %s", e.Entity, e.Field, e.Value, e.Reason)
}

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// EntityError reports an entity that exists already or does not exist. It
// unwraps to ErrExists or ErrNotFound.
type EntityError struct {
	Entity Entity
	Err    error
}

func (e *EntityError) Error() string { return fmt.Sprintf("%v %v", e.Entity, e.Err) }

// Unwrap returns ErrExists or ErrNotFound.
func (e *EntityError) Unwrap() error { return e.Err }

// VersionError reports a change that does not follow on the configuration. It
// unwraps to ErrVersion.
type VersionError struct {
	// Have is the version of the configuration.
	Have int64
	// Change is the version that the change makes.
	Change int64
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("change makes version %d, configuration is at %d", e.Change, e.Have)
}

// Unwrap returns ErrVersion.
func (e *VersionError) Unwrap() error { return ErrVersion }

func fieldError(entity Entity, field string, value any, reason string) error {
	return &FieldError{Entity: entity, Field: field, Value: shorten(fmt.Sprint(value)), Reason: reason}
}

// shorten cuts a value that a caller chose to a length fit for a message.
func shorten(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return s[:maxShown] + "..."
}
