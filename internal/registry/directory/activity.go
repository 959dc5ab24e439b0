package directory

import (
	"sort"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// activityWindow is how long a proxy counts as active on a service after a call.
const activityWindow = 10 * monotonic.Second

// activityTable maps each service and proxy to the time at which the proxy was last active on the service.
type activityTable map[string]map[string]monotonic.Micros

// record records that a proxy is active on a service now.
func (a activityTable) record(service, proxy string, now monotonic.Micros) {
	if a[service] == nil {
		a[service] = map[string]monotonic.Micros{}
	}
	a[service][proxy] = now
}

// proxies returns the proxies that were active on a service within activityWindow, sorted, and removes the others.
func (a activityTable) proxies(service string, now monotonic.Micros) (proxies []string) {
	for proxy, lastActive := range a[service] {
		if now-lastActive >= activityWindow {
			delete(a[service], proxy)
			continue
		}
		proxies = append(proxies, proxy)
	}
	sort.Strings(proxies)
	return proxies
}

// RecordActivity records which services a proxy called or tried to call.
func (d *Directory) RecordActivity(proxy string, services []*wire.Activity) {
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.clock.Now()
	for _, activity := range services {
		d.demand.record(activity.Service, proxy, now)
		if activity.Calls > 0 {
			d.activity.record(activity.Service, proxy, now)
		}
	}
}

// ActiveProxies returns the proxies that called a service within the last ten seconds, sorted.
func (d *Directory) ActiveProxies(service string) []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.activity.proxies(service, d.clock.Now())
}

// ProxiesWithDemand returns the proxies that tried to call a service within the last ten seconds, admitted or not, sorted.
func (d *Directory) ProxiesWithDemand(service string) []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.demand.proxies(service, d.clock.Now())
}
