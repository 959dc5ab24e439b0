package forward

import (
	"fmt"
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/session"
	"snowflow/internal/simulation/world"
)

const ms = monotonic.Millisecond

// queueing is a run of callers at backends, in simulated time: the real chooser at each caller, the real gate's slots at
// each backend. Only the way between them is a pause.
type queueing struct {
	speeds      []float64
	slots       uint32
	callers     int
	zones       int
	unequal     bool    // a zone's callers bring three times as much as the next one's
	utilisation float64 // of all slots
	aim, cutoff monotonic.Micros
	length      monotonic.Micros
	today       bool // by the own requests in flight alone, as where slots aren't known
}

type outcome struct {
	asked, refused, late, far, moves int
	total                            monotonic.Micros
	by                               map[string]int
}

func (outcome outcome) bad() float64 {
	return float64(outcome.refused+outcome.late) / float64(outcome.asked)
}

func (outcome outcome) String() string {
	return fmt.Sprintf("%d asked, %.2f %% refused, %.2f %% late, mean %d ms, %.2f %% to another zone, %d moves, by backend %v", outcome.asked, 100*float64(outcome.refused)/float64(outcome.asked),
		100*float64(outcome.late)/float64(outcome.asked), outcome.total/monotonic.Micros(max(1, outcome.asked-outcome.refused))/ms, 100*float64(outcome.far)/float64(outcome.asked), outcome.moves, outcome.by)
}

func (queueing queueing) run(t *testing.T, seed uint64) (result outcome) {
	simulated := world.New(seed)
	defer simulated.Close()
	result.by = map[string]int{}
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		keeper := localbackends.New(place, func() {})
		directory := &session.Directory{Candidates: map[string][]session.Candidate{}, Carriers: map[string]int{}, Live: queueing.callers}
		speeds := map[string]float64{}
		total := 0.0
		for index, speed := range queueing.speeds {
			name := fmt.Sprintf("backend-%d", index)
			speeds[name], total = speed, total+speed
			_, _ = keeper.Tell(localbackends.Report{Backend: localbackends.Backend{Service: "forms", Instance: name, Address: name}, Slots: queueing.slots, Condition: localbackends.Alive, Sequence: 1})
			candidate := session.Candidate{Carrier: "carrier-" + name, Domain: fmt.Sprint("zone-", index%queueing.zones), Service: "forms", Instance: name, Slots: queueing.slots}
			if queueing.today {
				candidate.Slots = 0
			}
			directory.Candidates["forms"] = append(directory.Candidates["forms"], candidate)
		}
		place.Go(func() { // their beats
			for sequence := uint64(2); ; sequence++ {
				place.Sleep(2 * monotonic.Second)
				for name := range speeds {
					_, _ = keeper.Tell(localbackends.Report{Backend: localbackends.Backend{Service: "forms", Instance: name, Address: name}, Slots: queueing.slots, Condition: localbackends.Alive, Sequence: sequence})
				}
			}
		})
		const meanWork = 157500.0 // of 15 to 300 ms, at speed 1
		rate := queueing.utilisation * total * float64(queueing.slots) / meanWork
		weights, sum := make([]float64, queueing.callers), 0.0
		for index := range queueing.callers {
			weights[index] = 1
			if queueing.unequal {
				weights[index] = []float64{3, 1, 1.0 / 3}[index%queueing.zones%3]
			}
			sum += weights[index]
		}
		chance := simulated.Chance()
		for index := range queueing.callers {
			domain := fmt.Sprint("zone-", index%queueing.zones)
			directory.Carriers[domain]++
			choices := newChooser(place, domain, false, 20*ms)
			place.Go(func() {
				for {
					place.Sleep(monotonic.Micros(chance.ExpFloat64() * sum / (rate * weights[index])))
					place.Go(func() {
						if work := monotonic.Micros(15000 + chance.IntN(285000)); result.asked >= 0 {
							queueing.request(place, keeper, choices, directory, speeds, work, &result)
						}
					})
				}
			})
		}
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + queueing.length)
	if simulated.Panicked != nil {
		t.Fatal(simulated.Panicked)
	}
	return result
}

func (queueing queueing) request(place *world.Place, keeper *localbackends.Hutch, choices *chooser, directory *session.Directory, speeds map[string]float64, work monotonic.Micros, result *outcome) {
	began, avoid := place.Now(), map[string]bool{}
	result.asked++
	for made := 0; ; made++ {
		candidate, last, leave, _ := choices.choose(directory, wish{service: "forms", avoid: avoid})
		avoid[candidate.Instance] = true
		last = last || made == mostMoves
		way := ms / 2
		if candidate.Domain != choices.domain {
			way = 2 * ms
		}
		place.Sleep(way)
		pass, fault := keeper.Admit(localbackends.Admission{Instance: candidate.Instance, Service: "forms", Ask: slots.Ask{Aim: began + queueing.aim, Cutoff: began + queueing.cutoff, Patient: last}})
		if fault == nil {
			place.Sleep(monotonic.Micros(float64(work) / speeds[candidate.Instance]))
			pass.Leave(slots.Worked)
		}
		load := keeper.Load(candidate.Instance, "")
		place.Sleep(way)
		if !queueing.today {
			choices.heard(candidate.Instance, "", load)
		}
		leave()
		if fault != nil && !last {
			result.moves++
			continue
		}
		if fault != nil {
			result.refused++
			return
		}
		result.by[candidate.Instance]++
		if candidate.Domain != choices.domain {
			result.far++
		}
		span := place.Now() - began
		result.total += span
		if span > queueing.aim {
			result.late++
		}
		return
	}
}

// TestSpread: near full, at backends of unequal speeds, fewer requests are refused or late than when callers go by their own
// requests alone.
func TestSpread(t *testing.T) {
	for _, row := range []struct {
		what    string
		zones   int
		unequal bool
		load    float64
	}{
		{"one zone", 1, false, 0.9},
		{"two zones, equal callers", 2, false, 0.9},
		{"two zones, one brings three times as much", 2, true, 0.9},
		{"two zones, one brings three times as much", 2, true, 0.85},
		{"two zones, one brings three times as much", 2, true, 0.95},
		{"two zones, half loaded", 2, false, 0.5},
	} {
		terms := queueing{speeds: []float64{0.5, 1, 1, 1.5}, slots: 6, callers: 12, zones: row.zones, unequal: row.unequal, utilisation: row.load, aim: 600 * ms, cutoff: 2 * monotonic.Second, length: 60 * monotonic.Second}
		var bad, badToday float64
		for seed := range uint64(3) {
			terms.today = false
			now := terms.run(t, seed)
			terms.today = true
			before := terms.run(t, seed)
			bad, badToday = bad+now.bad()/3, badToday+before.bad()/3
			if seed == 0 {
				t.Logf("%s at %.2f:\n by expected time: %s\n by own in flight: %s", row.what, row.load, now, before)
			}
		}
		t.Logf("%s at %.2f, three runs: %.2f %% refused or late, by own in flight %.2f %%", row.what, row.load, 100*bad, 100*badToday)
		if bad > badToday {
			t.Errorf("%s at %.2f: worse than by the own requests alone", row.what, row.load)
		}
	}
}
