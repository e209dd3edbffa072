package dynamo

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"crocusramp.dev/crocusramp/pkg/platform"
	"crocusramp.dev/crocusramp/pkg/standin/table"
)

// The benchmarks include the stand-in, which runs in the same process.

func BenchmarkGet(b *testing.B) {
	server := httptest.NewServer(table.New().Handler())
	defer server.Close()
	tab := newTable(server.URL)
	if err := create(tab); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := tab.Get(context.Background(), testKey); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkTransact(b *testing.B) {
	for _, writes := range []int{1, 10, platform.MaxTransactWrites} {
		b.Run(fmt.Sprintf("writes=%d", writes), func(b *testing.B) {
			server := httptest.NewServer(table.New().Handler())
			defer server.Close()
			tab := newTable(server.URL)
			batch := make([]platform.Write, writes)
			for revision := int64(0); b.Loop(); revision++ {
				for i := range batch {
					batch[i] = platform.Write{Key: platform.Key{Partition: "p", Sort: fmt.Sprint(i)}, IfRevision: revision, Value: []byte("v")}
				}
				if err := tab.Transact(context.Background(), batch); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
