package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"
)

// formatVersion is the version of the encoding. A VM that reads another version
// keeps its current configuration and becomes stale instead of guessing.
const formatVersion = 1

// MaxEncodedBytes bounds the size of an encoded configuration.
const MaxEncodedBytes = 256 << 20

// ErrFormat reports data that is not an encoded change or configuration.
var ErrFormat = errors.New("malformed configuration data")

type changeEnvelope struct {
	Format int     `json:"format"`
	Change *Change `json:"change"`
}

type configEnvelope struct {
	Format int     `json:"format"`
	Config *Config `json:"config"`
}

// EncodeChange encodes a change as deterministic JSON.
func EncodeChange(ch Change) ([]byte, error) {
	ch.Time = ch.Time.UTC()
	return json.Marshal(changeEnvelope{Format: formatVersion, Change: &ch})
}

// DecodeChange decodes the output of EncodeChange. It refuses unknown fields and
// other format versions. Errors: ErrFormat.
func DecodeChange(data []byte) (Change, error) {
	var e changeEnvelope
	if err := decode(data, &e); err != nil {
		return Change{}, err
	}
	if e.Format != formatVersion {
		return Change{}, fmt.Errorf("change has format %d, want %d: %w", e.Format, formatVersion, ErrFormat)
	}
	if e.Change == nil || e.Change.ID == uuid.Nil || e.Change.Version < 1 {
		return Change{}, fmt.Errorf("change without ID or version: %w", ErrFormat)
	}
	if _, _, err := e.Change.Action.Subject(); err != nil {
		return Change{}, fmt.Errorf("%w: %w", err, ErrFormat)
	}
	return *e.Change, nil
}

// Encode encodes the configuration as deterministic JSON.
func (c *Config) Encode() ([]byte, error) {
	return json.Marshal(configEnvelope{Format: formatVersion, Config: c})
}

// Decode decodes the output of Encode and validates every entity. Errors:
// ErrFormat, ErrInvalid.
func Decode(data []byte) (*Config, error) {
	if len(data) > MaxEncodedBytes {
		return nil, fmt.Errorf("configuration of %d bytes: %w", len(data), ErrFormat)
	}
	var e configEnvelope
	if err := decode(data, &e); err != nil {
		return nil, err
	}
	if e.Format != formatVersion {
		return nil, fmt.Errorf("configuration has format %d, want %d: %w", e.Format, formatVersion, ErrFormat)
	}
	c := e.Config
	if c == nil || c.Accounts == nil || c.Keys == nil || c.Routes == nil || c.Shifts == nil || c.Drains == nil {
		return nil, fmt.Errorf("configuration lacks a part: %w", ErrFormat)
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// decode decodes JSON strictly: unknown fields and trailing data are errors.
func decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: trailing data", ErrFormat)
	}
	return nil
}
