package forward

import (
	"fmt"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/session"
	"snowflow/internal/simulation/world"
)

// ailing is a run of many callers at a service of which one backend falls ill for a while: the real chooser at each caller, the
// real slots and standing at each backend's gate. A request that fails is tried at one more backend.
type ailing struct {
	illness func(place *world.Place, chance float64, left monotonic.Micros, domain string) (fails bool, took monotonic.Micros)
	without bool // nobody is left out, for comparison
	share   int  // how many backends fall ill
	callers int
}

const (
	ailingBackends   = 12
	illFrom, illTill = 10 * monotonic.Second, 16 * monotonic.Second
	ailingCutoff     = 800 * ms
)

type toll struct {
	asked, bad, after, afterIll int
	visits                      int // to those ill, while ill
}

func (toll toll) share() float64 { return float64(toll.bad) / float64(max(1, toll.asked)) }

func (ailing ailing) run(t *testing.T, seed uint64) (result toll) {
	simulated := world.New(seed)
	defer simulated.Close()
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		began := place.Now()
		keeper := localbackends.New(place, func() {})
		directory := &session.Directory{Candidates: map[string][]session.Candidate{}, Carriers: map[string]int{}, Live: ailing.callers}
		beat := func(sequence uint64) {
			for index := range ailingBackends {
				name := fmt.Sprintf("backend-%02d", index)
				_, _ = keeper.Tell(localbackends.Report{Backend: localbackends.Backend{Service: "forms", Instance: name, Address: name}, Slots: 4, Condition: localbackends.Alive, Sequence: sequence})
			}
		}
		beat(1)
		for index := range ailingBackends {
			name := fmt.Sprintf("backend-%02d", index)
			directory.Candidates["forms"] = append(directory.Candidates["forms"], session.Candidate{Carrier: "carrier-" + name, Domain: fmt.Sprint("zone-", index%3), Service: "forms", Instance: name, Slots: 4})
		}
		place.Go(func() {
			for sequence := uint64(2); ; sequence++ {
				place.Sleep(2 * monotonic.Second)
				beat(sequence)
			}
		})
		chance := simulated.Chance()
		const meanWork = 70000.0
		rate := 0.6 * ailingBackends * 4 / meanWork
		for index := range ailing.callers {
			domain := fmt.Sprint("zone-", index%3)
			directory.Carriers[domain]++
			choices := newChooser(place, domain, false, ms)
			place.Go(func() {
				for {
					place.Sleep(monotonic.Micros(chance.ExpFloat64() * float64(ailing.callers) / rate))
					place.Go(func() {
						work := monotonic.Micros(20000 + chance.IntN(100000))
						ailing.request(place, keeper, choices, directory, place.Now()-began, work, chance.Float64(), &result)
					})
				}
			})
		}
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + 30*monotonic.Second)
	if simulated.Panicked != nil {
		t.Fatal(simulated.Panicked)
	}
	return result
}

func (ailing ailing) ill(instance string) bool {
	index := 0
	_, _ = fmt.Sscanf(instance, "backend-%d", &index)
	return index < ailing.share
}

// request plays one request; at is its moment in the run.
func (ailing ailing) request(place *world.Place, keeper *localbackends.Hutch, choices *chooser, directory *session.Directory, at, work monotonic.Micros, chance float64, result *toll) {
	began, avoid := place.Now(), map[string]bool{}
	during := at >= illFrom && at < illTill
	if during {
		result.asked++
	}
	tries, served := 0, false
	for made := 0; tries < 2 && !served && made < 8; made++ {
		candidate, last, leave, _ := choices.choose(directory, wish{service: "forms", avoid: avoid, aim: 400 * ms})
		avoid[candidate.Instance] = true
		last = last || made >= mostMoves
		place.Sleep(ms / 2)
		ill := ailing.ill(candidate.Instance) && during
		reached, fine := ailing.visit(place, keeper, choices, directory, candidate, began, work, chance, last, ill)
		leave()
		if reached {
			tries++
			if ill {
				result.visits++
			}
			if at >= illTill+5*monotonic.Second {
				result.after++
				if ailing.ill(candidate.Instance) {
					result.afterIll++
				}
			}
		}
		served = fine
	}
	if during && (!served || place.Now()-began > 400*ms) {
		result.bad++
	}
}

// visit plays what a gate does with a request.
func (ailing ailing) visit(place *world.Place, keeper *localbackends.Hutch, choices *chooser, directory *session.Directory, candidate session.Candidate, began, work monotonic.Micros, chance float64, last, ill bool) (reached, fine bool) {
	left := began + ailingCutoff - place.Now()
	peers := choices.beside(directory, "forms", candidate.Instance)
	defer func() {
		load := keeper.Load(candidate.Instance, "forms")
		keeper.Stand(load, candidate.Instance, choices.domain, "forms")
		place.Sleep(ms / 2)
		choices.heard(candidate.Instance, "forms", load)
		choices.stands(directory, "forms", candidate.Instance, load)
	}()
	visit, fault := keeper.Visit(candidate.Instance, outlier.Ask{Domain: choices.domain, Kind: "forms", Aim: began + 400*ms - place.Now(), Repeatable: true, Insists: last || ailing.without,
		Peers: outlier.Peers{Known: int(peers.Known), Ejected: int(peers.Ejected), Faults: float64(peers.FaultRate) / 1000, Pace: float64(peers.LatencyRatio) / 1000}})
	if fault != nil {
		if fault.Cause == apierror.BackendUnhealthy {
			choices.shun(candidate.Instance)
		}
		return false, false
	}
	defer visit.Close(outlier.Unknown)
	pass, fault := keeper.Admit(localbackends.Admission{Instance: candidate.Instance, Service: "forms", Ask: slots.Ask{Aim: began + 400*ms, Cutoff: began + ailingCutoff, Patient: last}})
	if fault != nil {
		return false, false
	}
	visit.Start()
	fails, took := false, work
	if ill {
		if fails, took = ailing.illness(place, chance, left, choices.domain); took == 0 {
			took = work
		} else if took < 0 {
			took = -took * work
		}
	}
	place.Sleep(min(took, max(1, began+ailingCutoff-place.Now())))
	outcome, end := outlier.Good, slots.Worked
	if fails {
		outcome, end = outlier.Faulty, slots.Over
	}
	if began+ailingCutoff <= place.Now() {
		outcome, end, fails = outlier.Unknown, slots.Over, true
	}
	visit.Close(outcome)
	pass.Leave(end)
	choices.judge(candidate.Instance, fails)
	return true, !fails
}

// illnesses are the ways in which a backend may be ill while it says that it's well. A negative time is a multiple of the usual one.
var illnesses = map[string]func(place *world.Place, chance float64, left monotonic.Micros, domain string) (bool, monotonic.Micros){
	"errors": func(*world.Place, float64, monotonic.Micros, string) (bool, monotonic.Micros) { return true, ms },
	"four errors in ten": func(_ *world.Place, chance float64, _ monotonic.Micros, _ string) (bool, monotonic.Micros) {
		return chance < 0.4, 0
	},
	"a third hangs": func(_ *world.Place, chance float64, left monotonic.Micros, _ string) (bool, monotonic.Micros) {
		if chance < 0.34 {
			return true, left
		}
		return false, 0
	},
	"all hangs": func(_ *world.Place, _ float64, left monotonic.Micros, _ string) (bool, monotonic.Micros) {
		return true, left
	},
	"eight times slower": func(*world.Place, float64, monotonic.Micros, string) (bool, monotonic.Micros) { return false, -8 },
	"errors for one zone": func(_ *world.Place, _ float64, _ monotonic.Micros, domain string) (bool, monotonic.Micros) {
		if domain == "zone-0" {
			return true, ms
		}
		return false, 0
	},
}

// TestAiling: of many callers, few lose requests to a backend that is ill while it says that it's well, and afterwards it's used as
// before. Each row holds the most that may be lost, and the most visits to those ill, as parts of what it is without.
func TestAiling(t *testing.T) {
	for name, most := range map[string]struct{ lost, visits float64 }{"errors": {1, 0.1}, "four errors in ten": {1, 0.2}, "a third hangs": {0.5, 0.4},
		"all hangs": {0.3, 0.3}, "eight times slower": {0.7, 0.6}, "errors for one zone": {1, 0.7}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var with, without toll
			for seed := range uint64(3) {
				one := ailing{illness: illnesses[name], share: 2, callers: 72}.run(t, seed)
				other := ailing{illness: illnesses[name], share: 2, callers: 72, without: true}.run(t, seed)
				with.asked, with.bad, with.visits, with.after, with.afterIll = with.asked+one.asked, with.bad+one.bad, with.visits+one.visits, with.after+one.after, with.afterIll+one.afterIll
				without.asked, without.bad, without.visits = without.asked+other.asked, without.bad+other.bad, without.visits+other.visits
			}
			t.Logf(name+": two of twelve ill for 6 s: %.2f %% of %d late or lost, %d visits; without %.2f %%, %d visits; 5 s later they have %.3f of all", 100*with.share(), with.asked, with.visits, 100*without.share(), without.visits, float64(with.afterIll)/float64(with.after))
			if with.share() > most.lost*without.share() || float64(with.visits) > most.visits*float64(without.visits) {
				t.Errorf("%.4f of the requests are late or lost, %.4f where nobody is left out; %d visits, and %d", with.share(), without.share(), with.visits, without.visits)
			}
			if back := float64(with.afterIll) / float64(with.after); back < 0.1 {
				t.Errorf("they have %.3f of all 5 s later, not near 0.167", back)
			}
		})
	}
}

// TestAllAil: what the whole service has leaves nobody out for long: requests still come to backends.
func TestAllAil(t *testing.T) {
	result := ailing{illness: illnesses["errors"], share: ailingBackends, callers: 72}.run(t, 1)
	if result.visits < result.asked/2 {
		t.Errorf("%d of %d requests came to a backend, though none is better than another", result.visits, result.asked)
	}
}
