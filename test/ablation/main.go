// Command ablation measures what each mechanism of the request path is worth. For each mechanism it builds
// a copy of the repository without it, plays days of deployments on the bench of the platform, and prints
// the worth and the rules that were broken.
//
//	go run ./test/ablation -bench PATH -days scale-1,trouble-2 -seeds 11,12 SITE...
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"
)

// plan is what is played for each mechanism.
type plan struct {
	bench                    string
	sites, days, seeds, only []string
	parallel                 int
	journal                  string
}

// play is one day of a deployment.
type play struct{ site, day, seed string }

// result is the outcome of a play.
type result struct {
	worth float64
	rules []string
}

func main() {
	var p plan
	days := flag.String("days", "scale-1,trouble-2,trouble-3", "days to play")
	seeds := flag.String("seeds", "11,12", "seeds of each day")
	only := flag.String("only", "", "names of mechanisms; empty means all")
	flag.StringVar(&p.bench, "bench", "", "path of the bench")
	flag.IntVar(&p.parallel, "parallel", 4, "plays at a time")
	flag.StringVar(&p.journal, "journal", "", "directory to which the bench's journal entries are copied")
	flag.Parse()
	p.sites, p.days, p.seeds = flag.Args(), strings.Split(*days, ","), strings.Split(*seeds, ",")
	if *only != "" {
		p.only = strings.Split(*only, ",")
	}
	if err := p.run(); err != nil {
		fmt.Fprintln(os.Stderr, "ablation:", err)
		os.Exit(1)
	}
}

// run plays all mechanisms and prints a line for each.
func (p *plan) run() error {
	if p.bench == "" || len(p.sites) == 0 {
		return errors.New("-bench and at least one site are required")
	}
	fmt.Println("| without | mean worth of", strings.Join(names(p.sites), " | "), "| rules broken |")
	for _, m := range mechanisms {
		if len(p.only) > 0 && !slices.Contains(p.only, m.name) {
			continue
		}
		if err := p.measure(m); err != nil {
			return fmt.Errorf("without %q: %w", m.name, err)
		}
	}
	return nil
}

// names returns the names of site files.
func names(sites []string) (out []string) {
	for _, s := range sites {
		out = append(out, strings.TrimSuffix(filepath.Base(s), ".toml"))
	}
	return out
}

// measure plays all days without a mechanism and prints the table's row.
func (p *plan) measure(m mechanism) error {
	tree, err := copyWithout(m)
	if err != nil {
		return err
	}
	defer os.RemoveAll(tree)
	if out, err := p.command(tree, "build").CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	row, broken := []string{m.name}, map[string]bool{}
	for _, site := range p.sites {
		results, err := p.playAll(tree, m, site)
		if err != nil {
			return err
		}
		sum := 0.0
		for _, r := range results {
			sum += r.worth
			for _, rule := range r.rules {
				broken[rule] = true
			}
		}
		row = append(row, fmt.Sprintf("%.3f", sum/float64(len(results))))
	}
	rules := make([]string, 0, len(broken))
	for rule := range broken {
		rules = append(rules, rule)
	}
	fmt.Println("|", strings.Join(append(row, strings.Join(rules, ", ")), " | "), "|")
	return nil
}

// copyWithout returns a temporary copy of the committed repository without a mechanism.
func copyWithout(m mechanism) (string, error) {
	tree, err := os.MkdirTemp("", "ablation-")
	if err != nil {
		return "", err
	}
	if out, err := exec.Command("git", "clone", "--quiet", ".", tree).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	if m.old == "" {
		return tree, nil
	}
	path := filepath.Join(tree, m.file)
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if n := bytes.Count(text, []byte(m.old)); n != 1 {
		return "", fmt.Errorf("%s has %q %d times, want once", m.file, m.old, n)
	}
	return tree, os.WriteFile(path, bytes.Replace(text, []byte(m.old), []byte(m.new), 1), 0o600)
}

func (p *plan) command(tree string, args ...string) *exec.Cmd {
	c := exec.Command(p.bench, args...)
	c.Dir = tree
	return c
}

// playAll plays all days of a site.
func (p *plan) playAll(tree string, m mechanism, site string) ([]result, error) {
	var plays []play
	for _, day := range p.days {
		for _, seed := range p.seeds {
			plays = append(plays, play{site, day, seed})
		}
	}
	results := make([]result, len(plays))
	var g errgroup.Group
	g.SetLimit(p.parallel)
	for i, q := range plays {
		g.Go(func() (err error) {
			results[i], err = p.play(tree, m, q)
			return err
		})
	}
	return results, g.Wait()
}

var snapshotID = regexp.MustCompile(`snapshot (\w+)`)

// play plays one day without charging processor time, so that the outcome depends on the code alone.
func (p *plan) play(tree string, m mechanism, q play) (result, error) {
	why := "trial: ablation, without " + m.name
	out, err := p.command(tree, "run", q.site, q.day, "--seed", q.seed, "--no-cpu", "--jobs", "1", "--why", why).Output()
	id := snapshotID.FindSubmatch(out)
	if id == nil {
		return result{}, fmt.Errorf("%s %s seed %s left no journal entry: %w", q.site, q.day, q.seed, err)
	}
	entries, err := filepath.Glob(filepath.Join(tree, "journal", "*-"+string(id[1])+".json"))
	if err != nil || len(entries) != 1 {
		return result{}, fmt.Errorf("journal entry %s: %w", id[1], err)
	}
	text, err := os.ReadFile(entries[0])
	if err != nil {
		return result{}, err
	}
	if p.journal != "" {
		if err := os.WriteFile(filepath.Join(p.journal, filepath.Base(entries[0])), text, 0o644); err != nil {
			return result{}, err
		}
	}
	return decodeEntry(text)
}

// decodeEntry returns the worth of the first day of a journal entry: the weighted mean of its parts, less
// the prices.
func decodeEntry(text []byte) (result, error) {
	var entry struct {
		Days []struct {
			Parts  [][3]any `json:"parts"`
			Prices [][3]any `json:"prices"`
			Rules  any      `json:"rules"`
		} `json:"days"`
	}
	if err := json.Unmarshal(text, &entry); err != nil {
		return result{}, err
	}
	if len(entry.Days) == 0 {
		return result{}, errors.New("the journal entry has no day")
	}
	day, weights, r := entry.Days[0], 0.0, result{}
	for _, part := range day.Parts {
		weight, _ := part[1].(float64)
		value, _ := part[2].(float64)
		weights += weight
		r.worth += weight * value
	}
	if weights == 0 {
		return result{}, errors.New("the day has no parts")
	}
	r.worth /= weights
	for _, price := range day.Prices {
		cost, _ := price[2].(float64)
		r.worth -= cost
	}
	r.rules = ruleNames(day.Rules)
	return r, nil
}

// ruleNames returns the names of the broken rules, which the journal holds as a list or by name.
func ruleNames(rules any) (out []string) {
	switch v := rules.(type) {
	case map[string]any:
		for name := range v {
			out = append(out, name)
		}
	case []any:
		for _, r := range v {
			out = append(out, fmt.Sprint(r))
		}
	}
	return out
}
