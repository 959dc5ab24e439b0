// Package layout defines the deployments that a rehearsal can start: hosts, zones, services and the requests that callers send.
package layout

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
)

// Kind is one kind of request that callers send.
type Kind struct {
	Name       string
	Method     string
	Path       string  // prefix to which each request's number is appended
	Rate       float64 // requests per second over the whole fleet
	Idempotent bool    // whether requests have an idempotency key and are retried
	BodyBytes  int     // size of a request's body
	Service    string  // name of the service that serves the requests
}

// Service is a simulated service.
type Service struct {
	Name     string
	Backends int // number of instances at the start
	// LookupPath is a path of another service that each backend requests while it serves every LookupEvery-th request. Empty for none.
	LookupPath    string
	LookupEvery   int
	ResponseBytes int
	WorkMicros    int // mean processing time of a request, in microseconds
}

// Layout is the composition of one deployment.
type Layout struct {
	Name    string
	Zones   []string // failure domains, to which hosts are assigned in turn
	Proxies int
	// CallerProxies, unless zero, is the number of proxies that receive all callers' requests; the others have all backends. The
	// callers' side of a proxy and the backends' side can then be measured separately.
	CallerProxies     int
	ControlPlaneHosts int // each runs a registry and a configuration store
	Services          []Service
	Kinds             []Kind
	DesiredState      string // name of the example desired state that is applied first
}

// All holds the layouts by name.
var All = map[string]Layout{
	"association": {
		Name: "association", Zones: []string{"north", "middle", "south"}, Proxies: 16, ControlPlaneHosts: 3, DesiredState: "association",
		Services: []Service{
			{Name: "templates", Backends: 6, LookupPath: "/municipalities", LookupEvery: 5, ResponseBytes: 3000, WorkMicros: 2000},
			{Name: "submissions", Backends: 5, LookupPath: "/municipalities", LookupEvery: 2, ResponseBytes: 300, WorkMicros: 5000},
			{Name: "batches", Backends: 4, LookupPath: "/scan-index", LookupEvery: 1, ResponseBytes: 60000, WorkMicros: 8000},
			{Name: "corrections", Backends: 3, LookupPath: "/revisions", LookupEvery: 1, ResponseBytes: 300, WorkMicros: 4000},
		},
		Kinds: []Kind{
			{Name: "template", Method: "GET", Path: "/templates/", Rate: 90, Service: "templates"},
			{Name: "submission", Method: "POST", Path: "/submissions/", Rate: 35, Idempotent: true, BodyBytes: 1500, Service: "submissions"},
			{Name: "batch", Method: "GET", Path: "/batches/", Rate: 12, Service: "batches"},
			{Name: "correction", Method: "POST", Path: "/corrections/", Rate: 10, Idempotent: true, BodyBytes: 600, Service: "corrections"},
		},
	},
	"raahbar": {
		Name: "raahbar", Zones: []string{"east", "west", "hill", "coast"}, Proxies: 12, ControlPlaneHosts: 4, DesiredState: "raahbar",
		Services: []Service{
			{Name: "forms", Backends: 4, ResponseBytes: 2500, WorkMicros: 1500},
			{Name: "households", Backends: 4, LookupPath: "/assignments", LookupEvery: 2, ResponseBytes: 300, WorkMicros: 4000},
			{Name: "packs", Backends: 4, LookupPath: "/eligibility", LookupEvery: 1, ResponseBytes: 40000, WorkMicros: 6000},
		},
		Kinds: []Kind{
			{Name: "form", Method: "GET", Path: "/forms/", Rate: 215, Service: "forms"},
			{Name: "submission", Method: "POST", Path: "/households/", Rate: 130, Idempotent: true, BodyBytes: 1200, Service: "households"},
			{Name: "pack", Method: "GET", Path: "/packs/", Rate: 40, Service: "packs"},
			{Name: "quota", Method: "GET", Path: "/quotas/", Rate: 70, Service: "forms"},
		},
	},
	"hops": {
		Name: "hops", Zones: []string{"left"}, Proxies: 2, CallerProxies: 1, ControlPlaneHosts: 3, DesiredState: "small",
		Services: []Service{{Name: "forms", Backends: 4, ResponseBytes: 2500}, {Name: "households", Backends: 4, ResponseBytes: 300}},
		Kinds: []Kind{
			{Name: "form", Method: "GET", Path: "/forms/", Rate: 200, Service: "forms"},
			{Name: "submission", Method: "POST", Path: "/households/", Rate: 100, Idempotent: true, BodyBytes: 1200, Service: "households"},
		},
	},
	"small": {
		Name: "small", Zones: []string{"left", "right"}, Proxies: 4, ControlPlaneHosts: 3, DesiredState: "small",
		Services: []Service{
			{Name: "forms", Backends: 3, ResponseBytes: 1000, WorkMicros: 1000},
			{Name: "households", Backends: 3, LookupPath: "/assignments", LookupEvery: 2, ResponseBytes: 300, WorkMicros: 2000},
		},
		Kinds: []Kind{
			{Name: "form", Method: "GET", Path: "/forms/", Rate: 30, Service: "forms"},
			{Name: "submission", Method: "POST", Path: "/households/", Rate: 20, Idempotent: true, BodyBytes: 500, Service: "households"},
		},
	},
}

// Find returns the layout with a name, or an error that lists the known names.
func Find(name string) (Layout, error) {
	layout, known := All[name]
	if !known {
		return Layout{}, fmt.Errorf("no layout %q; known layouts are %v", name, slices.Sorted(maps.Keys(All)))
	}
	return layout, nil
}

// indexStep is the distance between the hosts of a service's consecutive backends. It is prime, so that backends do not gather on a
// few hosts.
const indexStep = 5

// ProxyIndex returns the index of the proxy on whose host a service's backend with the given index starts.
func (l Layout) ProxyIndex(service Service, index int) int {
	return l.CallerProxies + (index*indexStep+len(service.Name))%(l.Proxies-l.CallerProxies)
}

// Zone returns the zone of the host with an index.
func (l Layout) Zone(index int) string { return l.Zones[index%len(l.Zones)] }

// lookupServices maps each lookup path to the service that serves it.
var lookupServices = map[string]string{
	"/municipalities": "submissions",
	"/scan-index":     "batches",
	"/revisions":      "corrections",
	"/assignments":    "households",
	"/eligibility":    "packs",
}

// LookupKinds returns the lookups that backends send as request kinds, so that invariants and reports cover them too.
func (l Layout) LookupKinds() (kinds []Kind) {
	seen := map[string]bool{}
	for _, service := range l.Services {
		path := service.LookupPath
		if path == "" || seen[path] {
			continue
		}
		seen[path] = true
		kinds = append(kinds, Kind{Name: "lookup" + path, Method: http.MethodGet, Path: path, Service: lookupServices[path]})
	}
	return kinds
}
