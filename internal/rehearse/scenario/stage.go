// Package scenario runs rehearsals: it brings up a fleet with its stand-ins, brings failures about, and reports.
package scenario

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"snowflow/examples"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/registry"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/layout"
	"snowflow/internal/rehearse/standin"
	"snowflow/internal/workload"
)

// Stage is a running rehearsal.
type Stage struct {
	Fleet    *fleet.Fleet
	Clock    *monotonic.SystemClock
	History  *invariants.History
	Callers  *standin.Callers
	Operator *standin.Operator
	Say      func(format string, arguments ...any)
	Options  Options

	lock      sync.Mutex
	Backends  []*standin.Backend
	ports     map[string]int
	processor map[string]int64
	cleanups  []func()
	findings  []string // what a scenario itself found
	friday    *workload.RouteChanges
	astray    bool // by the watcher's last look
	watching  chan struct{}
}

// Options are what a rehearsal is run with.
type Options struct {
	Layout   string
	Scenario string
	Length   time.Duration
	Factor   float64
	Rush     float64 // what the rush scenario multiplies the rates by
	Limit    int     // overrides every service's places per backend, for comparing
	Folder   string
	Binaries string
	Older    string // binaries of an earlier build, for rolling versions
	Base     int
	Relays   bool
	Level    string
	Choice   string        // near or blind
	Linger   time.Duration // what each core disk takes longer for a sync
}

// Open starts the fleet, its backends and its first desired state.
func Open(options Options, say func(format string, arguments ...any)) (*Stage, error) {
	chosen, err := layout.Find(options.Layout)
	if err != nil {
		return nil, err
	}
	stage := &Stage{Clock: monotonic.NewSystemClock(), History: &invariants.History{}, Say: say, Options: options, ports: map[string]int{},
		processor: map[string]int64{}, watching: make(chan struct{})}
	if stage.Fleet, err = fleet.New(chosen, options.Folder, options.Binaries, options.Base, options.Relays, options.Choice, cmp.Or(options.Level, "info")); err != nil {
		return nil, err
	}
	stage.cleanups = append(stage.cleanups, stage.Fleet.End)
	for _, process := range stage.Fleet.All() {
		process.Plan = func(what string) func() {
			over := stage.History.BeginPlannedChange(what, stage.Clock.Now())
			return func() { over(stage.Clock.Now()) }
		}
	}
	for _, process := range stage.Fleet.Core() {
		if err := stage.Fleet.Slow(process, options.Linger); err != nil {
			return stage, err
		}
	}
	for _, process := range stage.Fleet.All() {
		if options.Scenario != "clocks" {
			break // an earlier build doesn't know the setting
		}
		if err := stage.Fleet.Loosen(process); err != nil {
			return stage, err
		}
	}
	if err := stage.Fleet.StartAll(); err != nil {
		return stage, err
	}
	stage.Operator = standin.NewOperator(stage.Fleet, stage.Clock, stage.History)
	stage.Callers = standin.NewCallers(stage.Fleet, stage.Clock, stage.History)
	if err := fleet.Await(stage.Fleet.Core(), 20*time.Second); err != nil {
		return stage, err
	}
	for _, service := range chosen.Services {
		for index := range service.Backends {
			if _, err := stage.AddBackend(service, chosen.Home(service, index)); err != nil {
				return stage, err
			}
		}
	}
	content, err := examples.Desired(chosen.Desired)
	if err != nil {
		return stage, err
	}
	if options.Limit > 0 {
		content = bytes.ReplaceAll(content, []byte(`"services": [`), []byte(fmt.Sprintf(`"limits": {"inFlightPerBackend": %d}, "services": [`, options.Limit)))
	}
	applied, err := stage.Operator.Apply(content, "any", 30*time.Second)
	if err != nil || applied.Outcome != "accepted" {
		return stage, fmt.Errorf("the first desired state was not accepted: %v %w", applied, err)
	}
	stage.History.RetryAllowance = 20 // the examples' allowance for each service
	if err := fleet.Await(stage.Fleet.Carriers, 20*time.Second); err != nil {
		return stage, err
	}
	time.Sleep(2 * time.Second) // backends' registrations reach every directory with the next polls
	return stage, nil
}

// Find notes something that a scenario itself found wrong.
func (stage *Stage) Find(format string, arguments ...any) {
	stage.findings = append(stage.findings, fmt.Sprintf(format, arguments...))
}

// AddBackend starts an instance of a service beside a carrier.
func (stage *Stage) AddBackend(service layout.Service, carrier int) (*standin.Backend, error) {
	beside := stage.Fleet.Carriers[carrier]
	stage.lock.Lock()
	stage.ports[beside.Host]++
	address := fmt.Sprintf("%s:%d", beside.Host, 8000+stage.ports[beside.Host])
	stage.lock.Unlock()
	return stage.AddBackendAt(service, beside, address)
}

// AddBackendAt starts an instance at an address.
func (stage *Stage) AddBackendAt(service layout.Service, beside *fleet.Process, address string) (*standin.Backend, error) {
	backend, err := standin.NewBackend(service, address, beside, stage.Clock, stage.History)
	if err != nil {
		return nil, err
	}
	stage.lock.Lock()
	defer stage.lock.Unlock()
	stage.Backends = append(stage.Backends, backend)
	return backend, nil
}

// Beside gives the carrier's index that a backend stands beside.
func (stage *Stage) Beside(backend *standin.Backend) int {
	for index, carrier := range stage.Fleet.Carriers {
		if strings.HasPrefix(backend.Address, carrier.Host+":") {
			return index
		}
	}
	return 0
}

// Remove takes a backend off the list.
func (stage *Stage) Remove(backend *standin.Backend) {
	stage.lock.Lock()
	defer stage.lock.Unlock()
	for index, present := range stage.Backends {
		if present == backend {
			stage.Backends = append(stage.Backends[:index], stage.Backends[index+1:]...)
			return
		}
	}
}

// Of lists a service's backends.
func (stage *Stage) Of(service string) (backends []*standin.Backend) {
	stage.lock.Lock()
	defer stage.lock.Unlock()
	for _, backend := range stage.Backends {
		if backend.Service.Name == service {
			backends = append(backends, backend)
		}
	}
	return backends
}

// Primary finds the process that answers for a group, by its own word.
func (stage *Stage) Primary(group []*fleet.Process) *fleet.Process {
	for turn := 0; turn < 100; turn++ {
		for _, process := range group {
			var status struct {
				Core struct {
					Answering bool `json:"answering"`
				} `json:"core"`
			}
			if process.Running() && stage.Operator.Get(process, "/local", &status) == nil && status.Core.Answering {
				return process
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return group[0]
}

// Watch keeps reading the shared records from the sorters that answer, for rule 10, and what carriers serve by, for rule 6.
func (stage *Stage) Watch() {
	go func() {
		for {
			select {
			case <-stage.watching:
				return
			case <-time.After(200 * time.Millisecond):
			}
			for _, process := range stage.Fleet.Sorters {
				var status registry.Status
				if !process.Running() || stage.Operator.Get(process, "/local", &status) != nil || !status.Replication.Serving {
					continue
				}
				for _, record := range status.Breakers {
					stage.History.RecordBreaker(invariants.ObserveBreaker(record, stage.Clock.Now(), process.Name, stage.astray))
				}
			}
			stage.astray = stage.adopted()
		}
	}()
}

// adopted notes what every carrier serves by, and tells whether some carrier is away or goes by its own windows.
func (stage *Stage) adopted() (astray bool) {
	for _, process := range stage.Fleet.Carriers {
		var status proxy.Status
		if !process.Running() || process.Age() < 5*time.Second || stage.Operator.Get(process, "/status", &status) != nil {
			astray = true
			continue
		}
		stage.see(process.Name, status, stage.Clock.Now())
		astray = astray || !status.Ready || status.BreakersDegraded
	}
	return astray
}

// see notes what a carrier serves by, and what its guards have counted.
func (stage *Stage) see(name string, status proxy.Status, now monotonic.Micros) {
	if status.Ready {
		stage.History.RecordActiveConfig(invariants.ActiveConfig{Carrier: name, Serial: status.ConfigVersion, At: now, Sum: status.ConfigDigest})
	}
	for _, shown := range status.Breakers {
		stage.History.RecordCallCounts(invariants.CallCounts{Proxy: name, Incarnation: status.Incarnation, Service: shown.Service, At: now, Calls: shown.Calls, Window: shown.Window,
			Verdict: fmt.Sprint(shown.Shared, shown.Version, shown.Local, shown.Control)})
	}
}

// Wait lets the traffic go on for a while.
func (stage *Stage) Wait(span time.Duration) { time.Sleep(span) }

// Measure notes every process's processor time, for the report's difference.
func (stage *Stage) Measure() {
	for _, process := range stage.Fleet.All() {
		stage.processor[process.Name] = process.Processor()
	}
}

// Close ends everything that was started.
func (stage *Stage) Close() {
	stage.lock.Lock()
	backends := append([]*standin.Backend(nil), stage.Backends...)
	stage.lock.Unlock()
	select {
	case <-stage.watching:
	default:
		close(stage.watching)
	}
	for _, backend := range backends {
		backend.End()
	}
	for index := len(stage.cleanups) - 1; index >= 0; index-- {
		stage.cleanups[index]()
	}
}

// Report is how a rehearsal ended.
type Report struct {
	Layout    string                    `json:"layout"`
	Scenario  string                    `json:"scenario"`
	Seconds   float64                   `json:"seconds"`
	Kinds     map[string]map[string]int `json:"kinds"`
	Latency   map[string][3]int64       `json:"latency_micros_p50_p99_max"`
	Seen      map[int]int               `json:"seen_by_rule"`
	Findings  []string                  `json:"findings"`
	Tries     map[string]string         `json:"worst_further_per_first_in_10s"`
	Processor map[string]int64          `json:"processor_micros_by_program"`
	PerAsk    int64                     `json:"processor_micros_per_request"`
	Hops      map[string]int64          `json:"processor_micros_per_request_by_hop,omitempty"`
	Bytes     map[string]uint64         `json:"bytes_between,omitempty"`
	Unnamed   int                       `json:"refusals_without_retry_after"`
	Return    map[string]int64          `json:"micros_from_return_to_first_success,omitempty"`
	Rush      map[string][2]float64     `json:"served_per_second_before_and_in_rush,omitempty"`
	Shares    map[string][2]float64     `json:"served_of_first_asks_until_and_after_the_return"`
}

// Conclude makes the report.
func (stage *Stage) Conclude(began time.Time, checks ...invariants.Check) Report {
	findings, seen := invariants.Inspect(stage.History)
	report := Report{Layout: stage.Fleet.Layout.Name, Scenario: stage.Options.Scenario, Seconds: time.Since(began).Seconds(),
		Kinds: map[string]map[string]int{}, Latency: map[string][3]int64{}, Seen: seen, Findings: []string{}, Tries: invariants.HighestRetryRatios(stage.History),
		Processor: map[string]int64{}, Bytes: map[string]uint64{}}
	report.Findings = append(report.Findings, stage.findings...)
	for _, check := range checks {
		found, _ := check.Run(stage.History)
		for _, finding := range found {
			report.Findings = append(report.Findings, finding.String())
		}
	}
	for _, finding := range findings {
		report.Findings = append(report.Findings, finding.String())
	}
	spans := map[string][]int64{}
	total := 0
	for _, attempt := range stage.History.Attempts {
		if report.Kinds[attempt.Kind] == nil {
			report.Kinds[attempt.Kind] = map[string]int{}
		}
		total++
		report.Kinds[attempt.Kind][outcome(attempt)]++
		if attempt.Mesh && attempt.Status >= 500 && !attempt.RetryTold {
			report.Unnamed++
		}
		if attempt.Ended > 0 {
			spans[attempt.Kind] = append(spans[attempt.Kind], int64(attempt.Ended-attempt.Sent))
		}
	}
	for kind, taken := range spans {
		sort.Slice(taken, func(one, other int) bool { return taken[one] < taken[other] })
		report.Latency[kind] = [3]int64{taken[len(taken)/2], taken[len(taken)*99/100], taken[len(taken)-1]}
	}
	hops, apart := map[string]int64{}, stage.Fleet.Layout.Apart
	for _, process := range stage.Fleet.All() {
		spent := process.Processor() - stage.processor[process.Name]
		report.Processor[process.Program] += spent
		if index := slices.Index(stage.Fleet.Carriers, process); index >= apart {
			hops["server's side"] += spent / int64(max(1, total))
		} else if index >= 0 {
			hops["caller's side"] += spent / int64(max(1, total))
		}
	}
	report.PerAsk = report.Processor["proxy"] / int64(max(1, total))
	if apart > 0 {
		report.Hops = hops
	}
	stage.between(report.Bytes)
	report.Rush, report.Shares = stage.rushed(), stage.shares()
	report.Return = stage.back()
	return report
}

// shares gives, by kind, what part of the requests that were sent for the first time was served, until the machines' return and
// after it. Who asks again is left out: it would weigh a refusal by its repeats.
func (stage *Stage) shares() map[string][2]float64 {
	back := monotonic.Micros(0)
	for _, note := range stage.History.Markers {
		if note.What == "returned" {
			back = note.At
		}
	}
	counts, begun := map[string]*[4]float64{}, map[string]bool{}
	for _, attempt := range stage.History.Attempts {
		if attempt.Key != "" && begun[attempt.Key] {
			continue
		}
		begun[attempt.Key] = true
		if counts[attempt.Kind] == nil {
			counts[attempt.Kind] = &[4]float64{}
		}
		part := 0
		if back > 0 && attempt.Sent >= back {
			part = 2
		}
		counts[attempt.Kind][part]++
		if outcome(attempt) == "served" {
			counts[attempt.Kind][part+1]++
		}
	}
	shares := map[string][2]float64{}
	for kind, count := range counts {
		shares[kind] = [2]float64{count[1] / max(count[0], 1), count[3] / max(count[2], 1)}
	}
	return shares
}

// rushed gives each kind's successes a second before the rush and in its second half, when queues have grown.
func (stage *Stage) rushed() map[string][2]float64 {
	var from, until monotonic.Micros
	for _, note := range stage.History.Markers {
		if note.What == "rush" {
			from = note.At
		}
		if note.What == "rushed" {
			until = note.At
		}
	}
	if from == 0 || until == 0 || len(stage.History.Attempts) == 0 {
		return nil
	}
	start, half := stage.History.Attempts[0].Sent, from+(until-from)/2
	rates := map[string][2]float64{}
	for _, attempt := range stage.History.Attempts {
		if outcome(attempt) != "served" {
			continue
		}
		rate := rates[attempt.Kind]
		if attempt.Ended < from {
			rate[0] += 1 / (float64(from-start) / 1e6)
		} else if attempt.Ended >= half && attempt.Ended < until {
			rate[1] += 1 / (float64(until-half) / 1e6)
		}
		rates[attempt.Kind] = rate
	}
	return rates
}

// back gives how long after the machines' return each kind of traffic had its first success.
func (stage *Stage) back() map[string]int64 {
	first := map[string]int64{}
	for _, note := range stage.History.Markers {
		if note.What != "returned" {
			continue
		}
		for _, attempt := range stage.History.Attempts {
			if outcome(attempt) != "served" || attempt.Sent < note.At {
				continue
			}
			if took, known := first[attempt.Kind]; !known || int64(attempt.Ended-note.At) < took {
				first[attempt.Kind] = int64(attempt.Ended - note.At)
			}
		}
	}
	return first
}

// between sums the relays' bytes by whether they crossed a zone's border.
func (stage *Stage) between(totals map[string]uint64) {
	if stage.Fleet.Relays == nil {
		return
	}
	zones := map[string]string{}
	for _, process := range stage.Fleet.All() {
		zones[process.Host] = process.Zone
	}
	for pair, count := range stage.Fleet.Relays.Bytes() {
		if zones[pair[0]] == zones[pair[1]] {
			totals["within zones"] += count
		} else {
			totals["between zones"] += count
		}
	}
}

func outcome(attempt *invariants.Attempt) string {
	switch {
	case attempt.Transport != "":
		return "transport " + attempt.Transport
	case attempt.Ended == 0:
		return "open"
	case attempt.Mesh && attempt.NotRun:
		return "refused " + strconv.Itoa(attempt.Cause) + " not_run"
	case attempt.Mesh:
		return "refused " + strconv.Itoa(attempt.Cause) + " may_have_run"
	case attempt.Status >= 200 && attempt.Status < 300:
		return "served"
	}
	return "status " + strconv.Itoa(attempt.Status)
}

// Served counts successes.
func (report Report) Served() (served int) {
	for _, outcomes := range report.Kinds {
		served += outcomes["served"]
	}
	return served
}

// Text prints the report for people.
func (report Report) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, scenario %s, %.0f s\n", report.Layout, report.Scenario, report.Seconds)
	for _, kind := range slices.Sorted(maps.Keys(report.Kinds)) {
		fmt.Fprintf(&text, "  %-24s", kind)
		for _, name := range slices.Sorted(maps.Keys(report.Kinds[kind])) {
			fmt.Fprintf(&text, "  %s: %d", name, report.Kinds[kind][name])
		}
		latency := report.Latency[kind]
		fmt.Fprintf(&text, "  (p50 %.1f ms, p99 %.1f ms, most %.1f ms)\n", float64(latency[0])/1000, float64(latency[1])/1000, float64(latency[2])/1000)
	}
	fmt.Fprintf(&text, "  processor per request at the carriers: %d microseconds; by program: %v\n", report.PerAsk, report.Processor)
	if len(report.Hops) > 0 {
		fmt.Fprintf(&text, "  of that, by hop: %v\n", report.Hops)
	}
	if len(report.Bytes) > 0 {
		fmt.Fprintf(&text, "  bytes: %v\n", report.Bytes)
	}
	if len(report.Return) > 0 {
		fmt.Fprintf(&text, "  microseconds from the return to the first success: %v\n", report.Return)
	}
	for _, kind := range slices.Sorted(maps.Keys(report.Shares)) {
		fmt.Fprintf(&text, "  %s served of those that asked first: %.3f until the return, %.3f after\n", kind, report.Shares[kind][0], report.Shares[kind][1])
	}
	for _, kind := range slices.Sorted(maps.Keys(report.Rush)) {
		fmt.Fprintf(&text, "  %s served a second: %.0f before, %.0f in the rush\n", kind, report.Rush[kind][0], report.Rush[kind][1])
	}
	fmt.Fprintf(&text, "  worst further per first tries in any 10 s: %v\n", report.Tries)
	fmt.Fprintf(&text, "  seen by rule: %v\n", report.Seen)
	fmt.Fprintf(&text, "  findings: %d\n", len(report.Findings))
	for index, finding := range report.Findings {
		if index == 20 {
			fmt.Fprintf(&text, "    and %d more\n", len(report.Findings)-index)
			break
		}
		fmt.Fprintf(&text, "    %s\n", finding)
	}
	return text.String()
}

// JSON prints the report for programs.
func (report Report) JSON() string {
	content, _ := json.MarshalIndent(report, "", "  ")
	return string(content)
}

func random[Item any](items []Item) Item { return items[rand.IntN(len(items))] }
