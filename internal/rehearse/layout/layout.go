// Package layout describes the fleets that depot can bring up: machines, zones, services and the callers' mix.
package layout

import (
	"fmt"
	"maps"
	"slices"
)

// Kind is one kind of traffic.
type Kind struct {
	Name    string
	Method  string
	Path    string  // a number is put behind it
	Rate    float64 // a second, over the whole fleet
	Keyed   bool
	Body    int
	Service string
}

// Service is one stand-in service.
type Service struct {
	Name     string
	Backends int
	// Lookup is the internal call each backend makes for one in LookupEvery of its requests.
	Lookup      string
	LookupEvery int
	Answer      int // bytes
	Work        int // microseconds of pretended work
}

// Layout is one deployment.
type Layout struct {
	Name     string
	Zones    []string
	Carriers int
	// Apart keeps the two sides of a carrier apart, for measuring each: the first so many carriers take all callers, the
	// others all backends. Zero has every carrier do both.
	Apart    int
	Cores    int
	Services []Service
	Kinds    []Kind
	Desired  string
}

// All are the deployments by name.
var All = map[string]Layout{
	"association": {
		Name: "association", Zones: []string{"north", "middle", "south"}, Carriers: 16, Cores: 3, Desired: "association",
		Services: []Service{
			{Name: "templates", Backends: 6, Lookup: "/municipalities", LookupEvery: 5, Answer: 3000, Work: 2000},
			{Name: "submissions", Backends: 5, Lookup: "/municipalities", LookupEvery: 2, Answer: 300, Work: 5000},
			{Name: "batches", Backends: 4, Lookup: "/scan-index", LookupEvery: 1, Answer: 60000, Work: 8000},
			{Name: "corrections", Backends: 3, Lookup: "/revisions", LookupEvery: 1, Answer: 300, Work: 4000},
		},
		Kinds: []Kind{
			{Name: "template", Method: "GET", Path: "/templates/", Rate: 90, Service: "templates"},
			{Name: "submission", Method: "POST", Path: "/submissions/", Rate: 35, Keyed: true, Body: 1500, Service: "submissions"},
			{Name: "batch", Method: "GET", Path: "/batches/", Rate: 12, Service: "batches"},
			{Name: "correction", Method: "POST", Path: "/corrections/", Rate: 10, Keyed: true, Body: 600, Service: "corrections"},
		},
	},
	"raahbar": {
		Name: "raahbar", Zones: []string{"east", "west", "hill", "coast"}, Carriers: 12, Cores: 4, Desired: "raahbar",
		Services: []Service{
			{Name: "forms", Backends: 4, Answer: 2500, Work: 1500},
			{Name: "households", Backends: 4, Lookup: "/assignments", LookupEvery: 2, Answer: 300, Work: 4000},
			{Name: "packs", Backends: 4, Lookup: "/eligibility", LookupEvery: 1, Answer: 40000, Work: 6000},
		},
		Kinds: []Kind{
			{Name: "form", Method: "GET", Path: "/forms/", Rate: 215, Service: "forms"},
			{Name: "submission", Method: "POST", Path: "/households/", Rate: 130, Keyed: true, Body: 1200, Service: "households"},
			{Name: "pack", Method: "GET", Path: "/packs/", Rate: 40, Service: "packs"},
			{Name: "quota", Method: "GET", Path: "/quotas/", Rate: 70, Service: "forms"},
		},
	},
	"hops": {
		Name: "hops", Zones: []string{"left"}, Carriers: 2, Apart: 1, Cores: 3, Desired: "small",
		Services: []Service{{Name: "forms", Backends: 4, Answer: 2500}, {Name: "households", Backends: 4, Answer: 300}},
		Kinds: []Kind{
			{Name: "form", Method: "GET", Path: "/forms/", Rate: 200, Service: "forms"},
			{Name: "submission", Method: "POST", Path: "/households/", Rate: 100, Keyed: true, Body: 1200, Service: "households"},
		},
	},
	"small": {
		Name: "small", Zones: []string{"left", "right"}, Carriers: 4, Cores: 3, Desired: "small",
		Services: []Service{
			{Name: "forms", Backends: 3, Answer: 1000, Work: 1000},
			{Name: "households", Backends: 3, Lookup: "/assignments", LookupEvery: 2, Answer: 300, Work: 2000},
		},
		Kinds: []Kind{
			{Name: "form", Method: "GET", Path: "/forms/", Rate: 30, Service: "forms"},
			{Name: "submission", Method: "POST", Path: "/households/", Rate: 20, Keyed: true, Body: 500, Service: "households"},
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

// Home is the index of the carrier that a service's backend of an index stands beside at first.
func (layout Layout) Home(service Service, index int) int {
	// Spread over the machines; a prime step keeps services from piling up on the same ones.
	return layout.Apart + (index*5+len(service.Name))%(layout.Carriers-layout.Apart)
}

// Zone is the zone of the machine with this index.
func (layout Layout) Zone(index int) string { return layout.Zones[index%len(layout.Zones)] }

// LookupKinds are the internal calls as kinds of traffic, for the checkers.
func (layout Layout) LookupKinds() []Kind {
	owners := map[string]string{"/municipalities": "submissions", "/scan-index": "batches", "/revisions": "corrections", "/assignments": "households", "/eligibility": "packs"}
	seen := map[string]bool{}
	var kinds []Kind
	for _, service := range layout.Services {
		if service.Lookup != "" && !seen[service.Lookup] {
			seen[service.Lookup] = true
			kinds = append(kinds, Kind{Name: "lookup" + service.Lookup, Method: "GET", Path: service.Lookup, Service: owners[service.Lookup]})
		}
	}
	return kinds
}
