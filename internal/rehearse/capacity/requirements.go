package capacity

import (
	"fmt"

	"snowflow/internal/rehearse/sweep"
)

// The target size of the design. Calls, Changes, Restarts and Claims are per second. Claims are the calls that claim an idempotency
// key. Routes and Claims are assumptions.
const (
	Proxies       = 7700
	Services      = 580
	Calls         = 930000
	SecondsPerDay = 86400
	Changes       = 3500.0 / SecondsPerDay
	Restarts      = (2400.0 + 21) / SecondsPerDay

	Routes = 10 * Services
	Claims = Calls / 100.0

	windowSeconds = 10 // length of the recorded runs' window, over which the changes of the base size are spread
)

// Term is one summand of a requirement: the slope of Metric along Dimension, times Amount, the distance of the target from the base
// size. A cost that also grows with the number of proxies is multiplied Power times by the ratio of the target's proxies to the base's.
type Term struct {
	Dimension string
	Metric    string
	Amount    float64
	Power     int
}

// Requirement is the amount of one resource that a role needs at the target size. Each is a row of a table on the page.
type Requirement struct {
	Role        string
	Description string
	Unit        string
	Terms       []Term
	Bound       float64 // 0 if none is given
	Mechanism   string  // the packages that account for it and, in parentheses, the notes about them
}

// baseChanges is the rate of changes per second of the base size, at which slopes along services and routes were measured.
const baseChanges = 4.0 / windowSeconds

// changesOverBase is the ratio of the target's rate of changes to the base's.
const changesOverBase = Changes / baseChanges

// allTerms returns a metric's terms along all dimensions except changes. If shared, the metric belongs to a process that serves all
// proxies, so that the cost of services, routes and restarts is multiplied by the number of proxies.
func allTerms(metric string, shared bool) []Term {
	power := 0
	if shared {
		power = 1
	}
	return []Term{
		{"carriers", metric, Proxies, 0},
		{"services", metric, Services - 10, power},
		{"routes", metric, (Routes - 10) * changesOverBase, power},
		{"calls", metric, targetClaimRate(shared), 0},
		{"restarts", metric, Restarts, power + 1},
	}
}

// trafficTerms returns the terms of a role's bytes per second: all bytes along proxies, and along the other dimensions only the bytes
// of the given message kinds. Bytes that services add to registry polls are sent with each poll. Bytes that services and routes add to
// a configuration are sent with each change, so they are scaled to the target's rate of changes.
func trafficTerms(role string, shared bool, kinds ...string) (terms []Term) {
	power := 0
	if shared {
		power = 1
	}
	terms = []Term{{"carriers", role + " bytes", Proxies, 0}}
	byKind := map[string][]Term{
		"sorter_poll":  {{"services", role + " bytes of sorter_poll", Services - 10, power}, {"restarts", role + " bytes of sorter_poll", Restarts, power + 1}},
		"desired_poll": {{"services", role + " bytes of desired_poll", (Services - 10) * changesOverBase, power}, {"routes", role + " bytes of desired_poll", (Routes - 10) * changesOverBase, power}},
		"claim":        {{"calls", role + " bytes of claim", targetClaimRate(shared), 0}},
	}
	for _, kind := range kinds {
		terms = append(terms, byKind[kind]...)
	}
	return terms
}

// targetClaimRate returns the claims per second to extrapolate to. For a process that serves all proxies, this is the target's rate. For a
// proxy, it is the rate of a mesh of the base size whose proxies each claim as often as a proxy of the target.
func targetClaimRate(shared bool) float64 {
	if shared {
		return Claims
	}
	return Claims / Proxies * float64(sweep.Base.Proxies)
}

// Requirements lists the rows of the page's table, in order. Roles, metrics and mechanisms have the names that the records and the page
// use.
var Requirements = []Requirement{
	{"carrier", "control traffic, calm", "B/s", []Term{{"carriers", "carrier bytes", Proxies, 0}}, 7000, "`carrier/roll`, `carrier/desk` (shared-state, roll-out)"},
	{"carrier", "control traffic, all", "B/s", trafficTerms("carrier", false, "sorter_poll", "desired_poll", "claim"), 7000, "as above, and `sorter/directory`, `sorter/breakerstore` (membership, failure-detection)"},
	{"carrier", "processor for control, calm", "µs/s", []Term{{"carriers", "carrier processor", Proxies, 0}}, 19000, "`carrier/roll`, `carrier/desk`, `house` governor (processor)"},
	{"carrier", "processor for control, all", "µs/s", allTerms("carrier processor", false), 19000, "as above"},
	{"carrier", "memory", "KB", []Term{{"carriers", "carrier memory", Proxies, 0}, {"services", "carrier memory", Services - 10, 0}, {"routes", "carrier memory", Routes - 10, 0}}, 128000, "`carrier/roll` directory, `franking` view (membership, roll-out)"},
	{"sorter", "primary: messages, calm", "1/s", []Term{{"carriers", "sorter primary messages", Proxies, 0}}, 0, "`sorter` polls (shared-state)"},
	{"sorter", "primary: traffic, all", "B/s", trafficTerms("sorter primary", true, "sorter_poll", "claim"), 125e6, "`sorter/directory`, `sorter/breakerstore` (membership, shared-state)"},
	{"sorter", "primary: processor, calm", "µs/s", []Term{{"carriers", "sorter primary processor", Proxies, 0}}, 8e6, "`sorter` polls, `sorter/directory` (membership)"},
	{"sorter", "primary: processor for guards' records", "µs/s", []Term{{"services", "sorter primary processor", Services - 10, 1}}, 8e6, "`sorter/breakerstore`, whole with each poll (shared-state)"},
	{"sorter", "primary: processor for claims", "µs/s", []Term{{"calls", "sorter primary processor", Claims, 0}}, 8e6, "`sorter/claims`, `replication` group commit (run-once)"},
	{"sorter", "primary: memory, calm", "KB", []Term{{"carriers", "sorter primary memory", Proxies, 0}}, 0, "`sorter/directory`, connections (membership)"},
	{"sorter", "backup: traffic, calm", "B/s", []Term{{"carriers", "sorter backup bytes", Proxies, 0}}, 125e6, "`sorter` sessions told, `replication` (recovery)"},
	{"sorter", "backup: processor, calm", "µs/s", []Term{{"carriers", "sorter backup processor", Proxies, 0}}, 8e6, "as above"},
	{"sorter", "claims answered again after the primary's death", "s", []Term{{"carriers", "until claims again", Proxies, 0}}, 0, "`replication` (election)"},
	{"postmaster", "primary: messages, calm", "1/s", []Term{{"carriers", "postmaster primary messages", Proxies, 0}}, 0, "`postmaster` held polls (roll-out)"},
	{"postmaster", "primary: traffic, mean of a day", "B/s", trafficTerms("postmaster primary", true, "desired_poll"), 125e6, "`postmaster` held polls, whole states (roll-out)"},
	{"postmaster", "primary: processor, calm", "µs/s", []Term{{"carriers", "postmaster primary processor", Proxies, 0}}, 8e6, "as above"},
	{"postmaster", "primary: memory, calm", "KB", []Term{{"carriers", "postmaster primary memory", Proxies, 0}}, 0, "`postmaster` holders, `postmaster/ledger` (roll-out)"},
	{"postmaster", "one desired state", "B", []Term{{"carriers", "desired state", Proxies, 0}, {"services", "desired state", Services - 10, 0}, {"routes", "desired state", Routes - 10, 0}}, 0, "`postmaster/ledger`, `franking` (roll-out)"},
	{"postmaster", "primary: sending a change to all within 9 s", "B", []Term{{"services", "postmaster primary bytes of desired_poll", (Services - 10) / baseChanges, 1}, {"routes", "postmaster primary bytes of desired_poll", (Routes - 10) / baseChanges, 1}}, 9 * 125e6, "`postmaster` held polls, whole states (roll-out)"},
	{"postmaster", "primary: processor for sending it", "µs", []Term{{"services", "postmaster primary processor", (Services - 10) / baseChanges, 1}, {"routes", "postmaster primary processor", (Routes - 10) / baseChanges, 1}}, 9 * 8e6, "as above"},
	{"postmaster", "a change of a small state (2 KB) in force at the slowest carrier", "s", []Term{{"carriers", "take-up, slowest carrier", Proxies, 0}}, 9, "`postmaster` news and words, `carrier/desk` (roll-out)"},
	{"postmaster", "a change acknowledged after the primary's death", "s", []Term{{"carriers", "until changes again", Proxies, 0}}, 9, "`postmaster` leases (roll-out, election)"},
	{"witness", "sorter: processor, calm", "µs/s", []Term{{"carriers", "sorter witness processor", Proxies, 0}}, 8e6, "`sorter` sessions told, `replication` register (election)"},
	{"witness", "sorter: memory, calm", "KB", []Term{{"carriers", "sorter witness memory", Proxies, 0}}, 0, "`sorter/directory` (membership)"},
	{"witness", "postmaster: processor, calm", "µs/s", []Term{{"carriers", "postmaster witness processor", Proxies, 0}}, 8e6, "`discovery` answers, `replication` register (election)"},
	{"witness", "postmaster: memory, calm", "KB", []Term{{"carriers", "postmaster witness memory", Proxies, 0}}, 0, "connections of `host/machine` (election)"},
}

// Part is the value of one term and the line from which it was computed.
type Part struct {
	Term  Term
	Line  Line
	Value float64
}

// Parts computes a requirement's terms and their sum. If the first term is along carriers, its value is that of the line at Amount, or
// at the largest measured size if the line is not increasing. Any other term is the slope times Amount, or 0 if the line is not
// increasing. Parts returns an error if a name is unknown or too few runs are recorded.
func (r Requirement) Parts(points []sweep.Point) (parts []Part, sum float64, err error) {
	for index, term := range r.Terms {
		dimension, err := sweep.FindDimension(term.Dimension)
		if err != nil {
			return nil, 0, err
		}
		metric, err := sweep.FindMetric(term.Metric)
		if err != nil {
			return nil, 0, err
		}
		line, fitted := FitAlong(points, dimension, metric)
		if !fitted {
			return nil, 0, fmt.Errorf("no line of %s along %s: too few runs are recorded", term.Metric, term.Dimension)
		}
		value := 0.0
		switch {
		case index == 0 && term.Dimension == "carriers" && line.Increasing():
			value = line.At(term.Amount)
		case index == 0 && term.Dimension == "carriers":
			value = line.At(line.MaxX)
		case line.Increasing():
			value = line.Slope * term.Amount
		}
		for range term.Power {
			value *= float64(Proxies) / float64(sweep.Base.Proxies)
		}
		parts, sum = append(parts, Part{term, line, value}), sum+value
	}
	return parts, sum, nil
}
