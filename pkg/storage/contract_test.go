package storage_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	standindirectory "crocusramp.dev/crocusramp/pkg/standin/directory"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/storage/directory"
	"crocusramp.dev/crocusramp/platform"
	standinstore "crocusramp.dev/crocusramp/platform/standin"
)

// tables are the adapters that must satisfy the contract of storage.Table.
var tables = map[string]func(*testing.T) storage.Table{
	"store": func(t *testing.T) storage.Table { return platform.NewTable(openStore(t)) },
}

// objectStores are the adapters that must satisfy the contract of storage.Objects.
var objectStores = map[string]func(*testing.T) storage.Objects{
	"store": func(t *testing.T) storage.Objects { return platform.NewObjects(openStore(t)) },
}

func openStore(t *testing.T) *platform.Store {
	server := httptest.NewServer(standinstore.New().Handler())
	t.Cleanup(server.Close)
	store := platform.NewStore(platform.StoreConfig{Address: server.Listener.Addr().String()})
	t.Cleanup(store.Close)
	return store
}

func put(partition, sort string, ifRevision int64, value string) storage.Write {
	return storage.Write{Key: storage.Key{Partition: partition, Sort: sort}, IfRevision: ifRevision, Value: []byte(value)}
}

func TestTableTransactions(t *testing.T) {
	for name, newTable := range tables {
		t.Run(name, func(t *testing.T) {
			ctx, table := context.Background(), newTable(t)
			mustTransact(t, table, put("p", "a", 0, "1"), put("p", "b", 0, ""))
			wantConflict(t, table, []int{1}, put("p", "c", 0, "x"), put("p", "a", 0, "x"))
			wantConflict(t, table, []int{0, 2}, put("p", "a", 2, "x"), put("p", "b", 1, "x"), put("p", "z", 1, "x"))
			if _, err := table.Get(ctx, storage.Key{Partition: "p", Sort: "c"}); !errors.Is(err, storage.ErrNotFound) {
				t.Errorf("a failed transaction left an item: %v", err)
			}
			mustTransact(t, table, put("p", "a", 1, "2"), storage.Write{Key: storage.Key{Partition: "p", Sort: "b"}, IfRevision: 1, Delete: true})
			item, err := table.Get(ctx, storage.Key{Partition: "p", Sort: "a"})
			want := storage.Item{Key: storage.Key{Partition: "p", Sort: "a"}, Revision: 2, Value: []byte("2")}
			if diff := cmp.Diff(want, item); err != nil || diff != "" {
				t.Errorf("item after the second write: %v\n%s", err, diff)
			}
			if _, err := table.Get(ctx, storage.Key{Partition: "p", Sort: "b"}); !errors.Is(err, storage.ErrNotFound) {
				t.Errorf("deleted item: %v", err)
			}
			mustTransact(t, table, put("p", "b", 0, "again"))
		})
	}
}

func mustTransact(t *testing.T, table storage.Table, writes ...storage.Write) {
	t.Helper()
	if err := table.Transact(context.Background(), writes); err != nil {
		t.Fatalf("transact: %v", err)
	}
}

func wantConflict(t *testing.T, table storage.Table, failed []int, writes ...storage.Write) {
	t.Helper()
	var conflict *storage.ConflictError
	if err := table.Transact(context.Background(), writes); !errors.As(err, &conflict) {
		t.Fatalf("transact: %v, want a conflict", err)
	}
	if diff := cmp.Diff(failed, conflict.Failed); diff != "" {
		t.Errorf("failed writes:\n%s", diff)
	}
}

func TestTableList(t *testing.T) {
	const items = 25
	for name, newTable := range tables {
		t.Run(name, func(t *testing.T) {
			table := newTable(t)
			large := string(make([]byte, 200<<10)) // 25 of these exceed the size of a page
			for i := range items {
				mustTransact(t, table, put("p", fmt.Sprintf("%04d", i), 0, large), put("other", fmt.Sprintf("%04d", i), 0, ""))
			}
			cases := []struct {
				after     string
				limit     int
				from, end int
			}{
				{"", items * 2, 0, items},
				{"", 7, 0, 7},
				{"0004", 7, 5, 12},
				{"0020", 100, 21, items},
				{"9999", 100, items, items},
			}
			for _, c := range cases {
				got, err := table.List(context.Background(), "p", c.after, c.limit)
				if err != nil {
					t.Fatal(err)
				}
				var want []string
				for i := c.from; i < c.end; i++ {
					want = append(want, fmt.Sprintf("%04d", i))
				}
				if diff := cmp.Diff(want, sortKeys(got)); diff != "" {
					t.Errorf("list after %q, limit %d:\n%s", c.after, c.limit, diff)
				}
			}
		})
	}
}

func sortKeys(items []storage.Item) []string {
	var s []string
	for _, i := range items {
		s = append(s, i.Sort)
	}
	return s
}

// TestTableFollowsModel compares the results of random transactions with those of
// an in-memory model.
func TestTableFollowsModel(t *testing.T) {
	for name, newTable := range tables {
		t.Run(name, func(t *testing.T) {
			table, runs := newTable(t), 0
			rapid.Check(t, func(rt *rapid.T) {
				runs++
				checkModel(rt, table, fmt.Sprint("run-", runs))
			})
		})
	}
}

func checkModel(rt *rapid.T, table storage.Table, partition string) {
	model := map[string]storage.Item{}
	for range rapid.IntRange(1, 8).Draw(rt, "transactions") {
		sorts := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "ü", "d"}), 1, 4, rapid.ID).Draw(rt, "items")
		var writes []storage.Write
		var failed []int
		for i, sort := range sorts {
			w := put(partition, sort, rapid.Int64Range(0, 2).Draw(rt, "revision"), rapid.String().Draw(rt, "value"))
			w.Delete = rapid.Bool().Draw(rt, "delete")
			if w.IfRevision != model[sort].Revision {
				failed = append(failed, i)
			}
			writes = append(writes, w)
		}
		err := table.Transact(context.Background(), writes)
		var conflict *storage.ConflictError
		switch {
		case errors.As(err, &conflict) && len(failed) > 0:
			if diff := cmp.Diff(failed, conflict.Failed); diff != "" {
				rt.Fatalf("failed writes:\n%s", diff)
			}
			continue
		case err != nil || len(failed) > 0:
			rt.Fatalf("transact: %v, want failed %v", err, failed)
		}
		for _, w := range writes {
			if w.Delete {
				delete(model, w.Sort)
			} else {
				model[w.Sort] = storage.Item{Key: w.Key, Revision: w.IfRevision + 1, Value: w.Value}
			}
		}
	}
	var want []storage.Item
	for _, sort := range slices.Sorted(maps.Keys(model)) {
		want = append(want, model[sort])
	}
	got, err := table.List(context.Background(), partition, "", 100)
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); err != nil || diff != "" {
		rt.Fatalf("items: %v\n%s", err, diff)
	}
}

func TestObjects(t *testing.T) {
	for name, newStore := range objectStores {
		t.Run(name, func(t *testing.T) {
			ctx, store := context.Background(), newStore(t)
			if _, err := store.Get(ctx, "config/1"); !errors.Is(err, storage.ErrNotFound) {
				t.Errorf("missing object: %v", err)
			}
			for _, size := range []int{0, 10, 3 << 20} {
				data := make([]byte, size)
				for i := range data {
					data[i] = byte(i * 7)
				}
				if err := store.Put(ctx, "config/ü 1", data); err != nil {
					t.Fatal(err)
				}
				got, err := store.Get(ctx, "config/ü 1")
				if err != nil || !slices.Equal(got, data) {
					t.Errorf("object of %d bytes was read back with %d bytes: %v", size, len(got), err)
				}
			}
		})
	}
}

func TestDirectory(t *testing.T) {
	list := standindirectory.New()
	server := httptest.NewServer(list.Handler())
	defer server.Close()
	d := directory.New(server.URL)
	want := []storage.VM{{ID: "vm-1", PeerAddress: "127.0.0.1:1", State: storage.VMLive}, {ID: "vm-2", PeerAddress: "127.0.0.1:2", State: storage.VMLeaving}}
	list.Set(want)
	got, err := d.VMs(context.Background())
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("list: %v\n%s", err, diff)
	}
}
