package scenario

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"crocusramp.dev/crocusramp/pkg/standin/target"
)

// ledger reads the ledgers of targets and sets values for expect:
// ledger [FLAG...] URL...
//
//	ledger.ran            requests that ran; retries count separately
//	ledger.shed           requests that were shed because all slots were in use
//	ledger.over_slots     highest number of requests above the slots that ran
//	                      concurrently on a target
//	ledger.keys_seen      requests that contained a client account key
//	ledger.after          requests that started at least -after later than the mark
//	                      -since
//	ledger.lost           targets that no longer accept connections, with -lost;
//	                      without it they are an error
//	ledger.run_twice      idempotency keys that ran more than once
//	ledger.excess         requests of the -account above -burst + -rate x t in
//	                      any window t; retries are not counted
func (sc *scenario) ledger(ts *testscript.TestScript, args []string) error {
	f := flag.NewFlagSet("ledger", flag.ContinueOnError)
	f.SetOutput(ts.Stderr())
	account := f.String("account", "", "client account")
	rate := f.Float64("rate", 0, "requests per second")
	burst := f.Float64("burst", 0, "burst in requests")
	lost := f.Bool("lost", false, "count targets that refuse connections instead of failing")
	since := f.String("since", "", "mark from which -after is measured")
	after := f.Duration("after", 0, "time after the mark")
	if err := f.Parse(args); err != nil {
		return err
	}
	urls := f.Args()
	if len(urls) == 0 {
		urls = slices.Collect(maps.Values(sc.currentFleet.targets))
	}
	all := len(urls)
	if *lost {
		urls = slices.DeleteFunc(urls, refuses)
	}
	records, err := readLedgers(urls)
	if err != nil {
		return err
	}
	v := map[string]float64{"lost": float64(all - len(urls))}
	runs := map[string]int{}
	var entries []target.Entry
	for _, r := range records {
		v["ran"] += float64(len(r.Entries) + r.Dropped)
		v["shed"] += float64(r.Shed)
		v["keys_seen"] += float64(r.KeysSeen)
		v["over_slots"] = max(v["over_slots"], float64(r.PeakRunning-r.Slots))
		entries = append(entries, r.Entries...)
		for key, n := range r.IdempotencyKeys {
			runs[key] += n
		}
	}
	v["run_twice"] = 0
	for _, n := range runs {
		if n > 1 {
			v["run_twice"]++
		}
	}
	if *since != "" {
		v["after"] = float64(startedFrom(entries, sc.marks[*since].Add(*after)))
	}
	if *account != "" {
		v["excess"] = excess(admissions(entries, *account), *rate, *burst)
	}
	for _, name := range slices.Sorted(maps.Keys(v)) {
		sc.values["ledger."+name] = v[name]
		fmt.Fprintf(ts.Stdout(), "ledger.%s %.6g\n", name, v[name])
	}
	return nil
}

// refuses reports whether connections to the URL are refused.
func refuses(url string) bool {
	resp, err := http.Get(url + "/ledger")
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	resp.Body.Close()
	return false
}

func readLedgers(urls []string) ([]target.Record, error) {
	var records []target.Record
	for _, url := range urls {
		body, err := get(url + "/ledger")
		if err != nil {
			return nil, fmt.Errorf("ledger of %s: %w", url, err)
		}
		var r target.Record
		if err := json.Unmarshal([]byte(body), &r); err != nil {
			return nil, fmt.Errorf("ledger of %s: %w", url, err)
		}
		records = append(records, r)
	}
	return records, nil
}

// startedFrom counts the requests that started at from or later.
func startedFrom(entries []target.Entry, from time.Time) int {
	n := 0
	for _, e := range entries {
		if !e.At.Before(from) {
			n++
		}
	}
	return n
}

// admissions returns the times at which requests of an account first reached a
// target. A retry of an admitted request does not count as another admission.
func admissions(entries []target.Entry, account string) []time.Time {
	first := map[string]time.Time{}
	for _, e := range entries {
		if e.Account != account {
			continue
		}
		if at, ok := first[e.RequestID]; !ok || e.At.Before(at) {
			first[e.RequestID] = e.At
		}
	}
	var times []time.Time
	for _, at := range first {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// excess returns by how many requests the arrivals exceed burst + rate x t in the
// worst window t, or 0. This equals the largest overdraft of a token bucket with
// the same rate and burst.
func excess(times []time.Time, rate, burst float64) float64 {
	worst, deficit := 0.0, 0.0 // deficit is how many tokens the bucket lacks to be full
	for i, at := range times {
		if i > 0 {
			deficit = max(0, deficit-rate*at.Sub(times[i-1]).Seconds())
		}
		deficit++
		worst = max(worst, deficit-burst)
	}
	return worst
}

// keyPrefix is the prefix of every client account key.
const keyPrefix = "crk_"

// findKeys returns the files below dir that contain a client account key.
func findKeys(dir string) ([]string, error) {
	var found []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if err == nil && strings.Contains(string(data), keyPrefix) {
			found = append(found, path)
		}
		return err
	})
	return found, err
}

// noKeys fails if a file in the script's directory, such as the log of a process,
// contains a client account key: nokeys
func (sc *scenario) noKeys(ts *testscript.TestScript, _ []string) error {
	found, err := findKeys(ts.MkAbs("."))
	if err == nil && len(found) > 0 {
		err = fmt.Errorf("client account keys in %s", strings.Join(found, ", "))
	}
	return err
}
