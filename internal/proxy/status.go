package proxy

import (
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/proxy/configclient"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/session"
	"snowflow/internal/proxy/tenantstats"
	"snowflow/internal/transport/wire"
)

// Status is the state of a proxy as shown to operators. The JSON keys are part of the operators' API.
type Status struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Reason      string `json:"why,omitempty"` // why the proxy is not ready; empty if it is

	ConfigVersion   uint64             `json:"desired_serial"`
	ConfigDigest    string             `json:"desired_check,omitempty"` // digest of the resources of the adopted version
	ConfigAgeMicros int64              `json:"desired_age_micros"`      // time since the version was adopted
	ConfigUpdates   configclient.Stats `json:"desired_taken"`

	Tenants        tenantstats.Report `json:"tenants"`
	KeyLeaseMicros int64              `json:"key_lease_micros,omitempty"` // remaining lease on tenants' keys; omitted if they need no lease

	Running         int64 `json:"requests_running"` // callers' requests in flight
	AdmittedRunning int64 `json:"passes_running"`   // requests in flight to local backends

	Backends      []*wire.Backend               `json:"backends"`
	BackendHealth []localbackends.BackendHealth `json:"standings"` // as determined by this proxy's outlier detection

	Breakers         []breaker.Status `json:"guards"`
	BreakersDegraded bool             `json:"guards_degraded"` // the registry can't be reached, so breakers only use local counts

	Members          int                  `json:"members_seen"` // live proxies in the directory
	DirectoryUpdates session.UpdateCounts `json:"directory_taken"`
}

// Status returns the proxy's current state.
func (p *Proxy) Status() Status {
	ready, reason := p.Ready()
	version, age, digest := p.ConfigClient.Adopted()
	keyLease, _ := p.ConfigClient.KeyLease()
	return Status{
		Name:             p.options.Name,
		Domain:           p.options.Domain,
		Incarnation:      p.incarnation,
		Ready:            ready,
		Reason:           reason,
		ConfigVersion:    version,
		ConfigDigest:     digest,
		ConfigAgeMicros:  int64(age),
		ConfigUpdates:    p.ConfigClient.Stats(),
		Tenants:          p.Forwarder.Tenants(),
		KeyLeaseMicros:   int64(keyLease),
		Running:          p.Forwarder.InFlight(),
		AdmittedRunning:  p.Admission.InFlight(),
		Backends:         p.LocalBackends.Backends(),
		BackendHealth:    p.LocalBackends.Health(),
		Breakers:         p.Breakers.Statuses(),
		BreakersDegraded: p.Breakers.Degraded(),
		Members:          p.Session.Directory().Live,
		DirectoryUpdates: p.Session.UpdateCounts(),
	}
}

// Ready reports whether callers may use this proxy, and if not, the reason.
func (p *Proxy) Ready() (ready bool, reason string) {
	if p.draining.Load() {
		return false, "draining"
	}
	snapshot, live := p.ConfigClient.Current()
	if snapshot == nil {
		return false, "no configuration adopted from a live leader yet"
	}
	if !live {
		return false, "the lease on the configuration has ended"
	}
	mayServeStale := p.options.ServeStale && p.Session.HasDirectory()
	if !p.Session.Registered() && !mayServeStale {
		return false, "no registry server has answered lately"
	}
	return true, ""
}
