package block

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

func TestLookupLongestPrefix(t *testing.T) {
	table, err := New([]Block{
		{netip.MustParsePrefix("0.0.0.0/0"), "default"},
		{netip.MustParsePrefix("10.0.0.0/8"), "a"},
		{netip.MustParsePrefix("10.1.0.0/16"), "b"},
		{netip.MustParsePrefix("10.1.2.0/24"), "c"},
		{netip.MustParsePrefix("255.255.255.0/24"), "last"},
		{netip.MustParsePrefix("2001:db8::/32"), "six"},
	})
	if err != nil {
		t.Fatal(err)
	}
	for address, want := range map[string]string{
		"10.0.0.1": "a", "10.1.0.1": "b", "10.1.2.3": "c", "10.1.3.0": "b", "10.2.0.0": "a",
		"11.0.0.0": "default", "255.255.255.255": "last", "::ffff:10.1.2.3": "c", "2001:db8:1::1": "six",
	} {
		if got, ok := table.Lookup(netip.MustParseAddr(address)); !ok || got != want {
			t.Errorf("%s: got %q, %v, want %q", address, got, ok, want)
		}
	}
	if region, ok := table.Lookup(netip.MustParseAddr("2001:db9::1")); ok {
		t.Errorf("address outside all blocks has region %q", region)
	}
}

func TestNewRejectsInvalidBlocks(t *testing.T) {
	p := netip.MustParsePrefix("10.0.0.0/8")
	for name, blocks := range map[string][]Block{
		"twice":   {{p, "a"}, {p, "b"}},
		"long":    {{netip.MustParsePrefix("2001:db8::/65"), "a"}},
		"missing": {{netip.Prefix{}, "a"}},
	} {
		if _, err := New(blocks); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
}

// TestLookupMatchesScan compares Lookup with a linear scan over all prefixes.
func TestLookupMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := map[netip.Prefix]bool{}
		var blocks []Block
		for i := range rapid.IntRange(0, 40).Draw(t, "blocks") {
			address := v4(rapid.Uint32().Draw(t, "address") & 0xff0300ff)
			p := netip.PrefixFrom(address, rapid.IntRange(0, 32).Draw(t, "bits")).Masked()
			if !seen[p] {
				seen[p] = true
				blocks = append(blocks, Block{p, fmt.Sprint(i)})
			}
		}
		table, err := New(blocks)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "indexed") {
			table.v4.buildIndex(func(k uint32) uint32 { return k >> 16 })
		}
		a := v4(rapid.Uint32().Draw(t, "asked") & 0xff0300ff)
		want, bits := "", -1
		for _, b := range blocks {
			if b.Prefix.Contains(a) && b.Prefix.Bits() > bits {
				want, bits = b.Region, b.Prefix.Bits()
			}
		}
		if got, ok := table.Lookup(a); got != want || ok != (bits >= 0) {
			t.Fatalf("%s: got %q, %v, want %q", a, got, ok, want)
		}
	})
}

func v4(k uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], k)
	return netip.AddrFrom4(b)
}

// disjointBlocks returns n disjoint /24 blocks spread over 1,300 regions.
func disjointBlocks(n int) []Block {
	r := rand.New(rand.NewPCG(1, 1))
	blocks := make([]Block, n)
	for i := range blocks {
		p := netip.PrefixFrom(v4(uint32(i)*8<<8), 24)
		blocks[i] = Block{p, fmt.Sprint("region-", r.IntN(1300))}
	}
	return blocks
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{100_000, 500_000, 1_900_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			blocks := disjointBlocks(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table, err := New(blocks)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(blocks)
			r := rand.New(rand.NewPCG(2, 2))
			addresses := make([]netip.Addr, 4096)
			for i := range addresses {
				addresses[i] = v4(r.Uint32N(uint32(n) * 8 << 8))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				table.Lookup(addresses[i%len(addresses)])
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "heap-B/block")
			b.ReportMetric(float64(table.Bytes())/float64(n), "table-B/block")
		})
	}
}
