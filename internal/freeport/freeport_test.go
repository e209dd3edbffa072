package freeport

import "testing"

// TestAddressesDiffer guards against a VM with the same address for two of its servers. Of 5000 sets
// of five addresses, the kernel chose six with a duplicate.
func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 500 {
		a := Address(t)
		if seen[a] {
			t.Fatalf("%s was returned twice", a)
		}
		seen[a] = true
	}
}
