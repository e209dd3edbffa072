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

// ledger reads the ledgers of targets and makes what they tell values that
// expect compares: ledger [FLAG...] URL...
//
//	ledger.ran            requests that ran, each sending counted
//	ledger.shed           requests that came while all slots were taken
//	ledger.over_slots     requests above the slots that ran at once, at most
//	ledger.keys_seen      requests that held a client account key
//	ledger.after          requests that started -after or later past the mark -since
//	ledger.lost           targets that no longer accept connections, with -lost;
//	                      without it they are an error
//	ledger.run_twice      idempotency keys that ran more than once
//	ledger.excess         requests of the -account above -burst + -rate x t in
//	                      any window t; admissions are counted once
func (w *world) ledger(ts *testscript.TestScript, args []string) error {
	f := flag.NewFlagSet("ledger", flag.ContinueOnError)
	f.SetOutput(ts.Stderr())
	account := f.String("account", "", "client account")
	rate := f.Float64("rate", 0, "requests a second")
	burst := f.Float64("burst", 0, "requests at once")
	lost := f.Bool("lost", false, "count targets that cannot be reached")
	since := f.String("since", "", "mark")
	after := f.Duration("after", 0, "time past the mark")
	if err := f.Parse(args); err != nil {
		return err
	}
	urls := f.Args()
	if len(urls) == 0 {
		urls = slices.Collect(maps.Values(w.current.targets))
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
		v["after"] = float64(startedFrom(entries, w.marks[*since].Add(*after)))
	}
	if *account != "" {
		v["excess"] = excess(admissions(entries, *account), *rate, *burst)
	}
	for _, name := range slices.Sorted(maps.Keys(v)) {
		w.values["ledger."+name] = v[name]
		fmt.Fprintf(ts.Stdout(), "ledger.%s %.6g\n", name, v[name])
	}
	return nil
}

// refuses reports whether nobody listens at the URL.
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

// startedFrom counts the requests that started at an instant or later.
func startedFrom(entries []target.Entry, from time.Time) int {
	n := 0
	for _, e := range entries {
		if !e.At.Before(from) {
			n++
		}
	}
	return n
}

// admissions returns when requests of an account first reached a target; a
// retry of an admitted request is no second admission.
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

// excess returns by how much the arrivals pass burst + rate x t in the worst
// window t, or 0. It is the most that a bucket of the same rate and burst
// would be overdrawn by.
func excess(times []time.Time, rate, burst float64) float64 {
	worst, level := 0.0, 0.0 // level is what the bucket lacks to be full
	for i, at := range times {
		if i > 0 {
			level = max(0, level-rate*at.Sub(times[i-1]).Seconds())
		}
		level++
		worst = max(worst, level-burst)
	}
	return worst
}

// keyPrefix begins every client account key.
const keyPrefix = "crk_"

// findKeys returns the files below dir that hold a client account key.
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

// noKeys fails where a log of any process holds a client account key.
func (w *world) noKeys(ts *testscript.TestScript, _ []string) error {
	found, err := findKeys(ts.MkAbs("."))
	if err == nil && len(found) > 0 {
		err = fmt.Errorf("client account keys in %s", strings.Join(found, ", "))
	}
	return err
}
