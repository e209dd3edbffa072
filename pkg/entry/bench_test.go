package entry

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkRequest compares requests through a VM with direct requests to the target,
// from 1 caller and from 64 concurrent callers.
func BenchmarkRequest(b *testing.B) {
	v := startVM(b, "vm-1", nil)
	body := []byte(strings.Repeat("x", 1024))
	direct := v.addTarget(b, "t1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(body)
	})
	vmAddress := v.callers.Listener.Addr().String()
	for _, callers := range []int{1, 64} {
		for _, path := range []struct{ name, address string }{{"direct", direct.Address}, {"entry", vmAddress}} {
			b.Run(fmt.Sprintf("%s/callers=%d", path.name, callers), func(b *testing.B) {
				b.ReportAllocs()
				runLoad(b, path.address, callers)
			})
		}
	}
}

// runLoad sends b.N requests and reports their latency and rate.
func runLoad(b *testing.B, address string, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	latencies := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	for i := range callers {
		n := b.N / callers
		if i < b.N%callers {
			n++
		}
		wg.Go(func() {
			for range n {
				start := time.Now()
				if err := get(client, address); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = append(latencies[i], time.Since(start))
			}
		})
	}
	wg.Wait()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	if len(all) > 0 {
		b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
		b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
		b.ReportMetric(float64(len(all))/b.Elapsed().Seconds(), "requests/s")
	}
}

func get(client *http.Client, address string) error {
	req, err := http.NewRequest("GET", "http://"+address+"/lookup/x", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
