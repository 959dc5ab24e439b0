// Package layout describes the fleets that depot can bring up: machines, zones, services and the callers' mix.
package layout

import (
	"fmt"
	"maps"
	"slices"
)

// Kind is one kind of traffic.
type Kind struct {
	Name       string
	Method     string
	Path       string  // a number is put behind it
	Rate       float64 // a second, over the whole fleet
	Idempotent bool
	BodyBytes  int
	Service    string
}

// Service is one stand-in service.
type Service struct {
	Name     string
	Backends int
	// LookupPath is the internal call each backend makes for one in LookupEvery of its requests.
	LookupPath    string
	LookupEvery   int
	ResponseBytes int // bytes
	WorkMicros    int // microseconds of pretended work
}

// Layout is one deployment.
type Layout struct {
	Name    string
	Zones   []string
	Proxies int
	// CallerProxies keeps the two sides of a carrier apart, for measuring each: the first so many carriers take all callers, the
	// others all backends. Zero has every carrier do both.
	CallerProxies int
	CoreHosts     int
	Services      []Service
	Kinds         []Kind
	DesiredState  string
}

// All are the deployments by name.
var All = map[string]Layout{
	"association": {
		Name: "association", Zones: []string{"north", "middle", "south"}, Proxies: 16, CoreHosts: 3, DesiredState: "association",
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
		Name: "raahbar", Zones: []string{"east", "west", "hill", "coast"}, Proxies: 12, CoreHosts: 4, DesiredState: "raahbar",
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
		Name: "hops", Zones: []string{"left"}, Proxies: 2, CallerProxies: 1, CoreHosts: 3, DesiredState: "small",
		Services: []Service{{Name: "forms", Backends: 4, ResponseBytes: 2500}, {Name: "households", Backends: 4, ResponseBytes: 300}},
		Kinds: []Kind{
			{Name: "form", Method: "GET", Path: "/forms/", Rate: 200, Service: "forms"},
			{Name: "submission", Method: "POST", Path: "/households/", Rate: 100, Idempotent: true, BodyBytes: 1200, Service: "households"},
		},
	},
	"small": {
		Name: "small", Zones: []string{"left", "right"}, Proxies: 4, CoreHosts: 3, DesiredState: "small",
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

// Find gives a layout by name.
func Find(name string) (Layout, error) {
	found, known := All[name]
	if !known {
		return Layout{}, fmt.Errorf("no layout %q; there are %v", name, slices.Sorted(maps.Keys(All)))
	}
	return found, nil
}

// ProxyIndex is the index of the carrier that a service's backend of an index stands beside at first.
func (l Layout) ProxyIndex(service Service, index int) int {
	// Spread over the machines; a prime step keeps services from piling up on the same ones.
	return l.CallerProxies + (index*5+len(service.Name))%(l.Proxies-l.CallerProxies)
}

// Zone is the zone of the machine with this index.
func (l Layout) Zone(index int) string { return l.Zones[index%len(l.Zones)] }

// LookupKinds are the internal calls as kinds of traffic, for the checkers.
func (l Layout) LookupKinds() []Kind {
	owners := map[string]string{"/municipalities": "submissions", "/scan-index": "batches", "/revisions": "corrections", "/assignments": "households", "/eligibility": "packs"}
	seen := map[string]bool{}
	var kinds []Kind
	for _, service := range l.Services {
		if service.LookupPath != "" && !seen[service.LookupPath] {
			seen[service.LookupPath] = true
			kinds = append(kinds, Kind{Name: "lookup" + service.LookupPath, Method: "GET", Path: service.LookupPath, Service: owners[service.LookupPath]})
		}
	}
	return kinds
}
