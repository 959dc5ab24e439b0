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

// Rehearsal is a running rehearsal.
type Rehearsal struct {
	Fleet    *fleet.Fleet
	Clock    *monotonic.SystemClock
	History  *invariants.History
	Load     *standin.LoadGenerator
	Operator *standin.Operator
	Logf     func(format string, arguments ...any)
	Options  Options

	mu           sync.Mutex
	Backends     []*standin.Backend
	ports        map[string]int
	cpuTimes     map[string]int64
	cleanups     []func()
	findings     []string // what a scenario itself found
	peak         *workload.RouteChanges
	unsettled    bool // by the watcher's last look
	stopWatching chan struct{}
}

// Options are what a rehearsal is run with.
type Options struct {
	Layout            string
	Scenario          string
	Duration          time.Duration
	LoadFactor        float64
	OverloadFactor    float64 // what the rush scenario multiplies the rates by
	BackendLimit      int     // overrides every service's places per backend, for comparing
	Dir               string
	BinaryDir         string
	PreviousBinaryDir string // binaries of an earlier build, for rolling versions
	Subnet            int
	UseRelays         bool
	LogLevel          string
	LoadBalancing     string        // near or blind
	SyncDelay         time.Duration // what each core disk takes longer for a sync
}

// Open starts the fleet, its backends and its first desired state.
func Open(options Options, logf func(format string, arguments ...any)) (*Rehearsal, error) {
	chosen, err := layout.Find(options.Layout)
	if err != nil {
		return nil, err
	}
	rehearsal := &Rehearsal{Clock: monotonic.NewSystemClock(), History: &invariants.History{}, Logf: logf, Options: options, ports: map[string]int{},
		cpuTimes: map[string]int64{}, stopWatching: make(chan struct{})}
	if rehearsal.Fleet, err = fleet.New(chosen, options.Dir, options.BinaryDir, options.Subnet, options.UseRelays, options.LoadBalancing, cmp.Or(options.LogLevel, "info")); err != nil {
		return nil, err
	}
	rehearsal.cleanups = append(rehearsal.cleanups, rehearsal.Fleet.Close)
	for _, process := range rehearsal.Fleet.All() {
		process.OnPlannedStop = func(what string) func() {
			over := rehearsal.History.BeginPlannedChange(what, rehearsal.Clock.Now())
			return func() { over(rehearsal.Clock.Now()) }
		}
	}
	for _, process := range rehearsal.Fleet.Core() {
		if err := rehearsal.Fleet.SetSyncDelay(process, options.SyncDelay); err != nil {
			return rehearsal, err
		}
	}
	for _, process := range rehearsal.Fleet.All() {
		if options.Scenario != "clocks" {
			break // an earlier build doesn't know the setting
		}
		if err := rehearsal.Fleet.AllowClockSteps(process); err != nil {
			return rehearsal, err
		}
	}
	if err := rehearsal.Fleet.StartAll(); err != nil {
		return rehearsal, err
	}
	rehearsal.Operator = standin.NewOperator(rehearsal.Fleet, rehearsal.Clock, rehearsal.History)
	rehearsal.Load = standin.NewLoadGenerator(rehearsal.Fleet, rehearsal.Clock, rehearsal.History)
	if err := fleet.AwaitReady(rehearsal.Fleet.Core(), 20*time.Second); err != nil {
		return rehearsal, err
	}
	for _, service := range chosen.Services {
		for index := range service.Backends {
			if _, err := rehearsal.AddBackend(service, chosen.ProxyIndex(service, index)); err != nil {
				return rehearsal, err
			}
		}
	}
	content, err := examples.Desired(chosen.DesiredState)
	if err != nil {
		return rehearsal, err
	}
	if options.BackendLimit > 0 {
		content = bytes.ReplaceAll(content, []byte(`"services": [`), []byte(fmt.Sprintf(`"limits": {"inFlightPerBackend": %d}, "services": [`, options.BackendLimit)))
	}
	applied, err := rehearsal.Operator.Apply(content, "any", 30*time.Second)
	if err != nil || applied.Outcome != "accepted" {
		return rehearsal, fmt.Errorf("the first desired state was not accepted: %v %w", applied, err)
	}
	rehearsal.History.RetryAllowance = 20 // the examples' allowance for each service
	if err := fleet.AwaitReady(rehearsal.Fleet.Proxies, 20*time.Second); err != nil {
		return rehearsal, err
	}
	time.Sleep(2 * time.Second) // backends' registrations reach every directory with the next polls
	return rehearsal, nil
}

// AddFinding notes something that a scenario itself found wrong.
func (r *Rehearsal) AddFinding(format string, arguments ...any) {
	r.findings = append(r.findings, fmt.Sprintf(format, arguments...))
}

// AddBackend starts an instance of a service beside a carrier.
func (r *Rehearsal) AddBackend(service layout.Service, proxyIndex int) (*standin.Backend, error) {
	process := r.Fleet.Proxies[proxyIndex]
	r.mu.Lock()
	r.ports[process.Host]++
	address := fmt.Sprintf("%s:%d", process.Host, 8000+r.ports[process.Host])
	r.mu.Unlock()
	return r.AddBackendAt(service, process, address)
}

// AddBackendAt starts an instance at an address.
func (r *Rehearsal) AddBackendAt(service layout.Service, process *fleet.Process, address string) (*standin.Backend, error) {
	backend, err := standin.NewBackend(service, address, process, r.Clock, r.History)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Backends = append(r.Backends, backend)
	return backend, nil
}

// ProxyIndexOf gives the carrier's index that a backend stands beside.
func (r *Rehearsal) ProxyIndexOf(backend *standin.Backend) int {
	for index, process := range r.Fleet.Proxies {
		if strings.HasPrefix(backend.Address, process.Host+":") {
			return index
		}
	}
	return 0
}

// RemoveBackend takes a backend off the list.
func (r *Rehearsal) RemoveBackend(backend *standin.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for index, present := range r.Backends {
		if present == backend {
			r.Backends = append(r.Backends[:index], r.Backends[index+1:]...)
			return
		}
	}
}

// BackendsOf lists a service's backends.
func (r *Rehearsal) BackendsOf(service string) (backends []*standin.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, backend := range r.Backends {
		if backend.Service.Name == service {
			backends = append(backends, backend)
		}
	}
	return backends
}

// AwaitPrimary finds the process that answers for a group, by its own word.
func (r *Rehearsal) AwaitPrimary(group []*fleet.Process) *fleet.Process {
	for turn := 0; turn < 100; turn++ {
		for _, process := range group {
			var status struct {
				Core struct {
					Answering bool `json:"answering"`
				} `json:"core"`
			}
			if process.Running() && r.Operator.ReadJSON(process, "/local", &status) == nil && status.Core.Answering {
				return process
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return group[0]
}

// Watch keeps reading the shared records from the sorters that answer, for rule 10, and what carriers serve by, for rule 6.
func (r *Rehearsal) Watch() {
	go func() {
		for {
			select {
			case <-r.stopWatching:
				return
			case <-time.After(200 * time.Millisecond):
			}
			for _, process := range r.Fleet.Registries {
				var status registry.Status
				if !process.Running() || r.Operator.ReadJSON(process, "/local", &status) != nil || !status.Replication.Serving {
					continue
				}
				for _, record := range status.Breakers {
					r.History.RecordBreaker(invariants.ObserveBreaker(record, r.Clock.Now(), process.Name, r.unsettled))
				}
			}
			r.unsettled = r.observeProxies()
		}
	}()
}

// adopted notes what every carrier serves by, and tells whether some carrier is away or goes by its own windows.
func (r *Rehearsal) observeProxies() (unsettled bool) {
	for _, process := range r.Fleet.Proxies {
		var status proxy.Status
		if !process.Running() || process.Uptime() < 5*time.Second || r.Operator.ReadJSON(process, "/status", &status) != nil {
			unsettled = true
			continue
		}
		r.observeProxy(process.Name, status, r.Clock.Now())
		unsettled = unsettled || !status.Ready || status.BreakersDegraded
	}
	return unsettled
}

// see notes what a carrier serves by, and what its guards have counted.
func (r *Rehearsal) observeProxy(name string, status proxy.Status, now monotonic.Micros) {
	if status.Ready {
		r.History.RecordActiveConfig(invariants.ActiveConfig{Proxy: name, Version: status.ConfigVersion, At: now, Sum: status.ConfigDigest})
	}
	for _, guard := range status.Breakers {
		r.History.RecordCallCounts(invariants.CallCounts{Proxy: name, Incarnation: status.Incarnation, Service: guard.Service, At: now, Calls: guard.Calls, Window: guard.Window,
			Verdict: fmt.Sprint(guard.Shared, guard.Version, guard.Local, guard.Control)})
	}
}

// Wait lets the traffic go on for a while.
func (r *Rehearsal) Wait(duration time.Duration) { time.Sleep(duration) }

// RecordCPUTimes notes every process's processor time, for the report's difference.
func (r *Rehearsal) RecordCPUTimes() {
	for _, process := range r.Fleet.All() {
		r.cpuTimes[process.Name] = process.CPUTime()
	}
}

// Close ends everything that was started.
func (r *Rehearsal) Close() {
	r.mu.Lock()
	backends := append([]*standin.Backend(nil), r.Backends...)
	r.mu.Unlock()
	select {
	case <-r.stopWatching:
	default:
		close(r.stopWatching)
	}
	for _, backend := range backends {
		backend.Close()
	}
	for index := len(r.cleanups) - 1; index >= 0; index-- {
		r.cleanups[index]()
	}
}

// Report is how a rehearsal ended.
type Report struct {
	Layout                      string                    `json:"layout"`
	Scenario                    string                    `json:"scenario"`
	Seconds                     float64                   `json:"seconds"`
	Kinds                       map[string]map[string]int `json:"kinds"`
	Latency                     map[string][3]int64       `json:"latency_micros_p50_p99_max"`
	Observations                map[int]int               `json:"seen_by_rule"`
	Findings                    []string                  `json:"findings"`
	RetryRatios                 map[string]string         `json:"worst_further_per_first_in_10s"`
	CPUTimes                    map[string]int64          `json:"processor_micros_by_program"`
	CPUTimePerRequest           int64                     `json:"processor_micros_per_request"`
	CPUTimePerHop               map[string]int64          `json:"processor_micros_per_request_by_hop,omitempty"`
	RelayedBytes                map[string]uint64         `json:"bytes_between,omitempty"`
	RejectionsWithoutRetryAfter int                       `json:"refusals_without_retry_after"`
	RecoveryTimes               map[string]int64          `json:"micros_from_return_to_first_success,omitempty"`
	OverloadRates               map[string][2]float64     `json:"served_per_second_before_and_in_rush,omitempty"`
	ServedShares                map[string][2]float64     `json:"served_of_first_asks_until_and_after_the_return"`
}

// BuildReport makes the report.
func (r *Rehearsal) BuildReport(began time.Time, checks ...invariants.Check) Report {
	findings, seen := invariants.Inspect(r.History)
	report := Report{Layout: r.Fleet.Layout.Name, Scenario: r.Options.Scenario, Seconds: time.Since(began).Seconds(),
		Kinds: map[string]map[string]int{}, Latency: map[string][3]int64{}, Observations: seen, Findings: []string{}, RetryRatios: invariants.HighestRetryRatios(r.History),
		CPUTimes: map[string]int64{}, RelayedBytes: map[string]uint64{}}
	report.Findings = append(report.Findings, r.findings...)
	for _, check := range checks {
		found, _ := check.Run(r.History)
		for _, finding := range found {
			report.Findings = append(report.Findings, finding.String())
		}
	}
	for _, finding := range findings {
		report.Findings = append(report.Findings, finding.String())
	}
	latencies := map[string][]int64{}
	total := 0
	for _, attempt := range r.History.Attempts {
		if report.Kinds[attempt.Kind] == nil {
			report.Kinds[attempt.Kind] = map[string]int{}
		}
		total++
		report.Kinds[attempt.Kind][describeOutcome(attempt)]++
		if attempt.Mesh && attempt.Status >= 500 && !attempt.RetryAfterSet {
			report.RejectionsWithoutRetryAfter++
		}
		if attempt.Ended > 0 {
			latencies[attempt.Kind] = append(latencies[attempt.Kind], int64(attempt.Ended-attempt.Sent))
		}
	}
	for kind, taken := range latencies {
		sort.Slice(taken, func(one, other int) bool { return taken[one] < taken[other] })
		report.Latency[kind] = [3]int64{taken[len(taken)/2], taken[len(taken)*99/100], taken[len(taken)-1]}
	}
	hops, apart := map[string]int64{}, r.Fleet.Layout.CallerProxies
	for _, process := range r.Fleet.All() {
		spent := process.CPUTime() - r.cpuTimes[process.Name]
		report.CPUTimes[process.Program] += spent
		if index := slices.Index(r.Fleet.Proxies, process); index >= apart {
			hops["server's side"] += spent / int64(max(1, total))
		} else if index >= 0 {
			hops["caller's side"] += spent / int64(max(1, total))
		}
	}
	report.CPUTimePerRequest = report.CPUTimes["proxy"] / int64(max(1, total))
	if apart > 0 {
		report.CPUTimePerHop = hops
	}
	r.sumRelayBytes(report.RelayedBytes)
	report.OverloadRates, report.ServedShares = r.overloadRates(), r.servedShares()
	report.RecoveryTimes = r.recoveryTimes()
	return report
}

// shares gives, by kind, what part of the requests that were sent for the first time was served, until the machines' return and
// after it. Who asks again is left out: it would weigh a refusal by its repeats.
func (r *Rehearsal) servedShares() map[string][2]float64 {
	back := monotonic.Micros(0)
	for _, note := range r.History.Markers {
		if note.What == "returned" {
			back = note.At
		}
	}
	counts, begun := map[string]*[4]float64{}, map[string]bool{}
	for _, attempt := range r.History.Attempts {
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
		if describeOutcome(attempt) == "served" {
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
func (r *Rehearsal) overloadRates() map[string][2]float64 {
	var from, until monotonic.Micros
	for _, note := range r.History.Markers {
		if note.What == "rush" {
			from = note.At
		}
		if note.What == "rushed" {
			until = note.At
		}
	}
	if from == 0 || until == 0 || len(r.History.Attempts) == 0 {
		return nil
	}
	start, half := r.History.Attempts[0].Sent, from+(until-from)/2
	rates := map[string][2]float64{}
	for _, attempt := range r.History.Attempts {
		if describeOutcome(attempt) != "served" {
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
func (r *Rehearsal) recoveryTimes() map[string]int64 {
	first := map[string]int64{}
	for _, note := range r.History.Markers {
		if note.What != "returned" {
			continue
		}
		for _, attempt := range r.History.Attempts {
			if describeOutcome(attempt) != "served" || attempt.Sent < note.At {
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
func (r *Rehearsal) sumRelayBytes(totals map[string]uint64) {
	if r.Fleet.Relays == nil {
		return
	}
	zones := map[string]string{}
	for _, process := range r.Fleet.All() {
		zones[process.Host] = process.Zone
	}
	for pair, count := range r.Fleet.Relays.Bytes() {
		if zones[pair[0]] == zones[pair[1]] {
			totals["within zones"] += count
		} else {
			totals["between zones"] += count
		}
	}
}

func describeOutcome(attempt *invariants.Attempt) string {
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
func (r Report) Served() (served int) {
	for _, outcomes := range r.Kinds {
		served += outcomes["served"]
	}
	return served
}

// Text prints the report for people.
func (r Report) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, scenario %s, %.0f s\n", r.Layout, r.Scenario, r.Seconds)
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		fmt.Fprintf(&text, "  %-24s", kind)
		for _, name := range slices.Sorted(maps.Keys(r.Kinds[kind])) {
			fmt.Fprintf(&text, "  %s: %d", name, r.Kinds[kind][name])
		}
		latency := r.Latency[kind]
		fmt.Fprintf(&text, "  (p50 %.1f ms, p99 %.1f ms, most %.1f ms)\n", float64(latency[0])/1000, float64(latency[1])/1000, float64(latency[2])/1000)
	}
	fmt.Fprintf(&text, "  processor per request at the carriers: %d microseconds; by program: %v\n", r.CPUTimePerRequest, r.CPUTimes)
	if len(r.CPUTimePerHop) > 0 {
		fmt.Fprintf(&text, "  of that, by hop: %v\n", r.CPUTimePerHop)
	}
	if len(r.RelayedBytes) > 0 {
		fmt.Fprintf(&text, "  bytes: %v\n", r.RelayedBytes)
	}
	if len(r.RecoveryTimes) > 0 {
		fmt.Fprintf(&text, "  microseconds from the return to the first success: %v\n", r.RecoveryTimes)
	}
	for _, kind := range slices.Sorted(maps.Keys(r.ServedShares)) {
		fmt.Fprintf(&text, "  %s served of those that asked first: %.3f until the return, %.3f after\n", kind, r.ServedShares[kind][0], r.ServedShares[kind][1])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.OverloadRates)) {
		fmt.Fprintf(&text, "  %s served a second: %.0f before, %.0f in the rush\n", kind, r.OverloadRates[kind][0], r.OverloadRates[kind][1])
	}
	fmt.Fprintf(&text, "  worst further per first tries in any 10 s: %v\n", r.RetryRatios)
	fmt.Fprintf(&text, "  seen by rule: %v\n", r.Observations)
	fmt.Fprintf(&text, "  findings: %d\n", len(r.Findings))
	for index, finding := range r.Findings {
		if index == 20 {
			fmt.Fprintf(&text, "    and %d more\n", len(r.Findings)-index)
			break
		}
		fmt.Fprintf(&text, "    %s\n", finding)
	}
	return text.String()
}

// JSON prints the report for programs.
func (r Report) JSON() string {
	content, _ := json.MarshalIndent(r, "", "  ")
	return string(content)
}

func randomItem[Item any](items []Item) Item { return items[rand.IntN(len(items))] }
