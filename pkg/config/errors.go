package config

import "fmt"

// maxShownBytes is how many bytes of a refused value an error message contains.
const maxShownBytes = 64

// FieldError reports a field with an invalid value.
// It unwraps to ErrInvalid.
type FieldError struct {
	Entity Entity
	Field  string
	// Value is the refused value, truncated.
	Value  string
	Reason string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%v: %s %q %s", e.Entity, e.Field, e.Value, e.Reason)
}

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// EntityError reports an entity that already exists or does not exist. It
// unwraps to ErrExists or ErrNotFound.
type EntityError struct {
	Entity Entity
	Err    error
}

func (e *EntityError) Error() string { return fmt.Sprintf("%v %v", e.Entity, e.Err) }

// Unwrap returns ErrExists or ErrNotFound.
func (e *EntityError) Unwrap() error { return e.Err }

// VersionError reports a change that is not based on the configuration. It
// unwraps to ErrVersion.
type VersionError struct {
	// Have is the version of the configuration.
	Have int64
	// Change is the version of the change.
	Change int64
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("change makes version %d, configuration is at %d", e.Change, e.Have)
}

// Unwrap returns ErrVersion.
func (e *VersionError) Unwrap() error { return ErrVersion }

func fieldError(entity Entity, field string, value any, reason string) error {
	return &FieldError{Entity: entity, Field: field, Value: truncate(fmt.Sprint(value)), Reason: reason}
}

// truncate limits the length of a value that a caller chose, for use in an error message.
func truncate(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return s[:maxShownBytes] + "..."
}
