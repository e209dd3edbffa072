// Package block maps callers' addresses to regions with a table of client blocks (CIDR
// prefixes). A table is immutable and compact: it is designed to hold 1.9 million blocks
// within the 64 MB that a VM may use for the control plane.
package block

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"slices"
)

// ErrInvalid reports a block that a table cannot hold.
var ErrInvalid = errors.New("invalid client block")

// maxRegions is the number of distinct regions that fit the table's 16-bit region index.
// One of its values is reserved for addresses outside all blocks.
const maxRegions = 1<<16 - 1

// noRegion marks address ranges outside all blocks.
const noRegion = maxRegions

// buckets is the number of entries in the first-level index: one for each value of
// an address's upper 16 bits.
const buckets = 1 << 16

// minIndexedRanges is the number of ranges from which the first-level index is worth its
// 256 KiB of memory.
const minIndexedRanges = 4096

// Block assigns the addresses of a prefix to a region.
type Block struct {
	Prefix netip.Prefix
	Region string
}

// Table finds the region of an address by its longest matching prefix. It does not
// support IPv6 prefixes longer than 64 bits.
type Table struct {
	regions []string
	v4      ranges[uint32]
	v6      ranges[uint64]
}

// ranges holds disjoint address ranges: range i starts at starts[i], ends before
// starts[i+1] and belongs to the region with the index regions[i].
type ranges[T cmp.Ordered] struct {
	starts  []T
	regions []uint16
	// first[h] is the last range that starts before the smallest address whose
	// upper 16 bits are h, or 0 if there is none. It is nil in tables of less than
	// minIndexedRanges ranges.
	first []uint32
}

// New returns a table of the blocks, which may be in any order. For nested blocks,
// the longest prefix wins. It returns ErrInvalid for an IPv6 prefix longer than 64
// bits, a missing prefix, a duplicate block, or more than 65,535 regions.
func New(blocks []Block) (*Table, error) {
	t := &Table{}
	index := map[string]uint16{}
	var v4 []span[uint32]
	var v6 []span[uint64]
	for _, b := range blocks {
		region, ok := index[b.Region]
		if !ok {
			if len(t.regions) == maxRegions {
				return nil, fmt.Errorf("%w: more than %d sites", ErrInvalid, maxRegions)
			}
			region = uint16(len(t.regions))
			index[b.Region] = region
			t.regions = append(t.regions, b.Region)
		}
		prefix := b.Prefix.Masked()
		switch {
		case !prefix.IsValid():
			return nil, fmt.Errorf("%w: site %q has no prefix", ErrInvalid, b.Region)
		case prefix.Addr().Is4():
			start := v4Key(prefix.Addr())
			v4 = append(v4, span[uint32]{start, start | uint32(1<<(32-prefix.Bits())-1), region})
		case prefix.Bits() > 64:
			return nil, fmt.Errorf("%w: %s is longer than 64 bits", ErrInvalid, prefix)
		default:
			start := v6Key(prefix.Addr())
			last := start | (1<<(64-prefix.Bits()) - 1)
			v6 = append(v6, span[uint64]{start, last, region})
		}
	}
	var err error
	if t.v4, err = flatten(v4, func(k uint32) uint32 { return k >> 16 }); err != nil {
		return nil, err
	}
	t.v6, err = flatten(v6, func(k uint64) uint32 { return uint32(k >> 48) })
	return t, err
}

// Lookup returns the region of an address; ok is false if no block contains it.
func (t *Table) Lookup(a netip.Addr) (region string, ok bool) {
	a = a.Unmap()
	i := uint16(noRegion)
	switch {
	case a.Is4():
		k := v4Key(a)
		i = t.v4.find(k, k>>16)
	case a.Is6():
		k := v6Key(a)
		i = t.v6.find(k, uint32(k>>48))
	}
	if i == noRegion {
		return "", false
	}
	return t.regions[i], true
}

func v4Key(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

// v6Key returns the upper 64 bits of an address.
func v6Key(a netip.Addr) uint64 {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

// span is a block as an inclusive address range.
type span[T uint32 | uint64] struct {
	start, last T
	region      uint16
}

// flatten turns nested spans into disjoint ranges. Two prefixes are either nested or
// disjoint, so a stack of the open spans is sufficient.
func flatten[T uint32 | uint64](spans []span[T], bucket func(T) uint32) (ranges[T], error) {
	slices.SortFunc(spans, func(a, b span[T]) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(b.last, a.last))
	})
	r := ranges[T]{starts: make([]T, 0, len(spans)+1), regions: make([]uint16, 0, len(spans)+1)}
	r.add(0, noRegion)
	var open []span[T]
	closeSpansBefore := func(start T, all bool) {
		for len(open) > 0 && (all || open[len(open)-1].last < start) {
			ended := open[len(open)-1]
			open = open[:len(open)-1]
			next := uint16(noRegion)
			if len(open) > 0 {
				next = open[len(open)-1].region
			}
			if ended.last+1 != 0 {
				r.add(ended.last+1, next)
			}
		}
	}
	for i, s := range spans {
		if i > 0 && s.start == spans[i-1].start && s.last == spans[i-1].last {
			return r, fmt.Errorf("%w: a prefix is listed twice", ErrInvalid)
		}
		closeSpansBefore(s.start, false)
		r.add(s.start, s.region)
		open = append(open, s)
	}
	closeSpansBefore(0, true)
	r.index(bucket)
	return r, nil
}

// add appends a range. It replaces the last range if both start at the same address,
// and extends the last range if both have the same region.
func (r *ranges[T]) add(start T, region uint16) {
	n := len(r.starts)
	if n > 0 && r.starts[n-1] == start {
		r.starts, r.regions = r.starts[:n-1], r.regions[:n-1]
		n--
	}
	if n > 0 && r.regions[n-1] == region {
		return
	}
	r.starts, r.regions = append(r.starts, start), append(r.regions, region)
}

func (r *ranges[T]) index(bucket func(T) uint32) {
	r.starts, r.regions = slices.Clip(r.starts), slices.Clip(r.regions)
	if len(r.starts) < minIndexedRanges {
		return
	}
	r.buildIndex(bucket)
}

func (r *ranges[T]) buildIndex(bucket func(T) uint32) {
	r.first = make([]uint32, buckets+1)
	i := 0
	for h := range uint32(buckets) {
		for i+1 < len(r.starts) && (bucket(r.starts[i+1]) < h) {
			i++
		}
		r.first[h] = uint32(i)
	}
	r.first[buckets] = uint32(len(r.starts) - 1)
}

// find returns the region index of the range that contains k; h is k's bucket.
func (r *ranges[T]) find(k T, h uint32) uint16 {
	low, high := 0, len(r.starts)-1
	if r.first != nil {
		low, high = int(r.first[h]), min(int(r.first[h+1])+1, high)
	}
	for low < high {
		middle := int(uint(low+high+1) >> 1)
		if r.starts[middle] <= k {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return r.regions[low]
}

// Bytes returns the memory size of the table's ranges and indexes.
func (t *Table) Bytes() int {
	return len(t.v4.starts)*(4+2) + len(t.v6.starts)*(8+2) + (len(t.v4.first)+len(t.v6.first))*4
}
