package scenario

import (
	"fmt"
	"sync"
	"time"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
)

// watchInterval is the pause between two readings of the processes' status.
const watchInterval = 200 * time.Millisecond

// watcher is the state of the goroutine that Watch starts. Only that goroutine uses localDecisions.
type watcher struct {
	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup
	// localDecisions is whether, at the last reading, the breakers of some proxy may not have followed the shared records: it was
	// unreachable, just started, not ready, or had breakers that only use local counts.
	localDecisions bool
}

func (w *watcher) requestStop() { w.stopOnce.Do(func() { close(w.stop) }) }

// Watch starts recording the breaker records of the registry's primary and the proxies' active configurations, which the rules on
// breakers (10) and on versions (6) check. Close stops it.
func (r *Rehearsal) Watch() {
	r.watcher.done.Add(1)
	go func() {
		defer r.watcher.done.Done()
		for {
			select {
			case <-r.watcher.stop:
				return
			case <-time.After(watchInterval):
			}
			r.observeBreakers()
			r.watcher.localDecisions = r.observeProxies()
		}
	}()
}

func (r *Rehearsal) observeBreakers() {
	for _, process := range r.Fleet.Registries {
		status, serving := r.servingStatus(process)
		if !serving {
			continue
		}
		for _, record := range status.Breakers {
			r.History.RecordBreaker(invariants.ObserveBreaker(record, r.Clock.Now(), process.Name, r.watcher.localDecisions))
		}
	}
}

// observeProxies records every proxy's status, and reports whether the breakers of some proxy may not follow the shared records, as
// watcher.localDecisions has it.
func (r *Rehearsal) observeProxies() (localDecisions bool) {
	for _, process := range r.Fleet.Proxies {
		var status proxy.Status
		if !process.Running() || process.Uptime() < 5*time.Second || r.Operator.ReadJSON(process, "/status", &status) != nil {
			localDecisions = true
			continue
		}
		r.observeProxy(process.Name, status, r.Clock.Now())
		localDecisions = localDecisions || !status.Ready || status.BreakersDegraded
	}
	return localDecisions
}

// observeProxy records a proxy's active configuration and the call counts of its breakers.
func (r *Rehearsal) observeProxy(name string, status proxy.Status, now monotonic.Micros) {
	if status.Ready {
		r.History.RecordActiveConfig(invariants.ActiveConfig{Proxy: name, Version: status.ConfigVersion, At: now, Sum: status.ConfigDigest})
	}
	for _, breaker := range status.Breakers {
		r.History.RecordCallCounts(invariants.CallCounts{Proxy: name, Incarnation: status.Incarnation, Service: breaker.Service, At: now, Calls: breaker.Calls, Window: breaker.Window,
			BreakerState: fmt.Sprint(breaker.Shared, breaker.Version, breaker.Local, breaker.Control)})
	}
}
