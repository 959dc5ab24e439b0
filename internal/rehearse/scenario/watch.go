package scenario

import (
	"fmt"
	"sync"
	"time"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
)

// watchInterval is the pause between two readings of all processes' status.
const watchInterval = 200 * time.Millisecond

// watcher is the goroutine that Watch starts. Only that goroutine uses unsettled.
type watcher struct {
	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup
	// unsettled is whether, at the last reading, some proxy was down, not ready, or judged services by its own windows alone.
	unsettled bool
}

func (w *watcher) requestStop() { w.stopOnce.Do(func() { close(w.stop) }) }

// Watch begins to record the breaker records of the registry's primary, for rule 10, and the configurations that proxies serve by,
// for rule 6. Close ends it.
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
			r.watcher.unsettled = r.observeProxies()
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
			r.History.RecordBreaker(invariants.ObserveBreaker(record, r.Clock.Now(), process.Name, r.watcher.unsettled))
		}
	}
}

// observeProxies records what every proxy serves by, and reports whether some proxy is down or judges services by its own windows.
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

// observeProxy records the configuration that a proxy serves by, and the calls that its breakers have counted.
func (r *Rehearsal) observeProxy(name string, status proxy.Status, now monotonic.Micros) {
	if status.Ready {
		r.History.RecordActiveConfig(invariants.ActiveConfig{Proxy: name, Version: status.ConfigVersion, At: now, Sum: status.ConfigDigest})
	}
	for _, breaker := range status.Breakers {
		r.History.RecordCallCounts(invariants.CallCounts{Proxy: name, Incarnation: status.Incarnation, Service: breaker.Service, At: now, Calls: breaker.Calls, Window: breaker.Window,
			BreakerState: fmt.Sprint(breaker.Shared, breaker.Version, breaker.Local, breaker.Control)})
	}
}
