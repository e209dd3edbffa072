package main

// mechanism is a policy that can be left out, by replacing a part of one source file.
type mechanism struct {
	name string
	// file is the source file, relative to the repository. old is its text that is replaced by new;
	// it must occur exactly once.
	file, old, new string
}

var mechanisms = []mechanism{
	{name: "nothing left out"},
	{"spill between regions", "pkg/ingress/choose.go", "if i > 0 && !c.s.spill.allows(c.pool, now) {", "if i > 0 {"},
	{"spill bounded by pool", "pkg/ingress/demand.go", "\tp := s.pools[name]\n\tif p == nil {\n\t\tp = &poolSpill", "\tname = \"\"\n\tp := s.pools[name]\n\tif p == nil {\n\t\tp = &poolSpill"},
	{"large responses: home region first", "pkg/ingress/choose.go", "if c.route.LargeResponses {", "if false {"},
	{"large responses: own failure domain", "pkg/ingress/choose.go", "if c.route.LargeResponses && region", "if false && region"},
	{"queue bounded by predicted wait", "pkg/placement/placement.go", "|| o.wait() <= longest", "|| true"},
	{"queue bounded at all", "pkg/placement/placement.go", "c.Usable && c.mayQueue(longest)", "c.Usable && (c.mayQueue(longest) || true)"},
	{"least queue on few slots", "pkg/placement/placement.go", "minQueue = 3.0\n\tmaxQueue = 6.0", "minQueue = 0.0\n\tmaxQueue = 0.0"},
	{"requests held after a start", "pkg/ingress/start.go", "startHold = 700 * time.Millisecond", "startHold = 0 * time.Millisecond"},
	{"retry at the refusing target", "pkg/ingress/choose.go", "if !c.refusedWithFreeSlots {", "if true {"},
	{"cold rate", "pkg/ingress/choose.go", "(!l.Cold(now) || c.admitToCold(l, now)) &&", "true &&"},
	{"suspects by outcomes", "pkg/target/live.go", "!unreachable && n < failuresToSuspect {", "n > 0 {"},
	{"splitter's slack", "pkg/ingress/split.go", "if s.counts[home]+1-s.count*s.share(s.parts[home]) <= slack && maxDeficit <= slack {", "if slack < 0 {"},
	{"regions balanced by demand", "pkg/placement/balance.go", "\tmoveExcess(regions, flows)\n", ""},
	{"loans of limits on demand", "pkg/limit/book.go", "case now.Before(b.deniedUntil(reserve)) || waits == maxWaits:", "case true:"},
	{"prefetch of targets' limits", "pkg/edge/edge.go", "Prefetch: true,", "Prefetch: false,"},
	{"reuse of connections to targets", "pkg/edge/edge.go", "targetIdleTimeout = 4 * time.Second", "targetIdleTimeout = time.Nanosecond"},
	{"Retry-After with refusals", "pkg/ingress/call.go", "c.s.cfg.Wire.SetRetryAfter(h, a.retryAfter)", "_ = a.retryAfter"},
}
