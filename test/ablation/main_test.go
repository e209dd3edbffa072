package main

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestMechanismsCanBeLeftOut checks that each mechanism's text is still in its file.
func TestMechanismsCanBeLeftOut(t *testing.T) {
	for _, m := range mechanisms[1:] {
		text, err := os.ReadFile(filepath.Join("..", "..", m.file))
		if err != nil {
			t.Error(err)
			continue
		}
		if n := bytes.Count(text, []byte(m.old)); n != 1 {
			t.Errorf("%s: %s has %q %d times, want once", m.name, m.file, m.old, n)
		}
	}
}

func TestDecodeEntry(t *testing.T) {
	r, err := decodeEntry([]byte(`{"days":[{"parts":[["whole day",0.6,0.9],["worst zone",0.2,0.7]],"prices":[["calls",10,0.05]],"rules":{"LOST":2}}]}`))
	if want := (0.6*0.9+0.2*0.7)/0.8 - 0.05; err != nil || math.Abs(r.worth-want) > 1e-9 {
		t.Errorf("worth %v, %v, want %v", r.worth, err, want)
	}
	if diff := cmp.Diff([]string{"LOST"}, r.rules); diff != "" {
		t.Error(diff)
	}
	for _, text := range []string{``, `{}`, `{"days":[{}]}`} {
		if _, err := decodeEntry([]byte(text)); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
