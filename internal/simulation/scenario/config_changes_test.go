package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/eventlog"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/snowctl/rollout"
	"snowflow/internal/transport/wire"
)

// manyRoutes is the number of routes that no request takes.
const manyRoutes = 400

// desiredWithManyRoutes returns a desired state with many routes that no request takes besides those of Desired's services. alter may
// change it, unless it is nil.
func desiredWithManyRoutes(t testing.TB, alter func(state *wire.DesiredState)) []byte {
	t.Helper()
	state, faults := config.Parse(desiredWithRoutes(1))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for number := range manyRoutes {
		state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("batch-", number), Host: fmt.Sprintf("h%d.example", number%10), Prefix: fmt.Sprintf("/batches/%d/", number),
			Class: wire.Path_read, Split: []*wire.Share{{Service: "forms", Weight: 1}}})
	}
	if alter != nil {
		alter(state)
	}
	content, err := protojson.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	if _, faults := config.Parse(content); len(faults) > 0 {
		t.Fatal(faults)
	}
	return content
}

// moveOneRoute moves one route of many to another service.
func moveOneRoute(state *wire.DesiredState) { state.Routes[50].Split[0].Service = "households" }

// configChangeScene is a mesh of eight proxies that have adopted desiredWithManyRoutes and serve traffic while it is changed.
type configChangeScene struct {
	t       *testing.T
	mesh    *Mesh
	events  map[int]int
	before  map[string]*config.Snapshot
	calls   map[string]uint64
	budgets map[string]float64 // the retry budget of forms, by proxy
}

func newConfigChangeScene(t *testing.T) *configChangeScene {
	scene := &configChangeScene{t: t, mesh: Build(1, Topology{Cores: 3, Proxies: 8, Zones: 2, Backends: 3}, Defects{}), events: map[int]int{}, before: map[string]*config.Snapshot{}, calls: map[string]uint64{}, budgets: map[string]float64{}}
	scene.mesh.World.Trace = func(_ monotonic.Micros, _ string, number int, _ map[string]any) { scene.events[number]++ }
	scene.apply(desiredWithManyRoutes(t, nil), 8*monotonic.Second)
	scene.mesh.startTraffic(60)
	scene.run(10 * monotonic.Second)
	for name, instance := range scene.mesh.proxies {
		scene.before[name], _ = instance.ConfigClient.Current()
		scene.calls[name], scene.budgets[name] = scene.countedCalls(name), instance.RetryBudget.Balance("forms")
	}
	return scene
}

func (s *configChangeScene) run(duration monotonic.Micros) {
	s.mesh.runFor(duration)
}

func (s *configChangeScene) apply(content []byte, within monotonic.Micros) {
	s.t.Helper()
	acknowledged := false
	s.mesh.External.Go(func() {
		response := s.mesh.applyDesired(content, true, 0, 20*monotonic.Second)
		acknowledged = response != nil && response.Outcome == "accepted"
	})
	s.run(within)
	if !acknowledged {
		s.t.Errorf("not acknowledged within %d", within)
	}
}

// countedCalls returns the number of calls that a proxy's breakers have counted in all.
func (s *configChangeScene) countedCalls(name string) (calls uint64) {
	for _, status := range s.mesh.proxies[name].Breakers.Statuses() {
		calls += status.Calls
	}
	return calls
}

// changedVersion is the version of the first change of a scene.
const changedVersion = 2

// checkAdopted checks that every proxy serves, under changedVersion, by a content with one route moved, and has kept the objects of everything else.
func (s *configChangeScene) checkAdopted(content []byte) {
	t := s.t
	t.Helper()
	for _, name := range s.mesh.proxyNames {
		snapshot, live := s.mesh.proxies[name].ConfigClient.Current()
		if !live || snapshot.Version != changedVersion || snapshot.Digest != config.Digest(content) {
			t.Errorf("%s: version %d, live %v", name, snapshot.Version, live)
			continue
		}
		before := s.before[name]
		for service := range before.Services {
			if snapshot.Services[service] != before.Services[service] {
				t.Errorf("%s: service %s is another object", name, service)
			}
		}
		for number := range manyRoutes {
			host, path := fmt.Sprintf("h%d.example", number%10), fmt.Sprintf("/batches/%d/1", number)
			if changed := number == 47; changed == (snapshot.Lookup(host, "GET", path) == before.Lookup(host, "GET", path)) {
				t.Errorf("%s: batch-%d: changed %v, the same object %v", name, number, changed, !changed)
			}
		}
		if found := snapshot.Lookup("h7.example", "GET", "/batches/47/1"); found == nil || found.Service != snapshot.Services["households"] {
			t.Errorf("%s: the route leads to %v", name, found)
		}
		if now := s.countedCalls(name); now < s.calls[name] {
			t.Errorf("%s: %d calls counted, %d before the change", name, now, s.calls[name])
		}
		// Nothing is retried here, and first attempts refill the budget.
		if budget, known := s.budgets[name]; known && (s.mesh.proxies[name].RetryBudget.Balance("forms") < budget || budget == 0) {
			t.Errorf("%s: the budget holds %v, %v before the change", name, s.mesh.proxies[name].RetryBudget.Balance("forms"), budget)
		}
	}
}

// adoptionTotals counts, over all proxies, what they adopted and rejected, and the differences that the configuration stores computed.
type adoptionTotals struct{ differences, fullStates, rejected, computed uint64 }

func (s *configChangeScene) adoptionTotals() (sum adoptionTotals) {
	for _, name := range s.mesh.proxyNames {
		adopted := s.mesh.proxies[name].ConfigClient.Stats()
		sum.differences, sum.fullStates, sum.rejected = sum.differences+adopted.Differences, sum.fullStates+adopted.FullStates, sum.rejected+adopted.Rejected
	}
	for _, store := range s.mesh.configStores {
		sum.computed += store.DifferencesComputed()
	}
	return sum
}

// TestChangesSentAsDifferences: eight proxies under traffic adopt a change of one route as a difference that was computed once.
func TestChangesSentAsDifferences(t *testing.T) {
	scene := newConfigChangeScene(t)
	defer scene.mesh.World.Close()
	longest, complete := 0, len(desiredWithManyRoutes(t, nil))
	scene.mesh.onDesiredPoll = func(_ *wire.ConfigPollRequest, response *wire.ConfigPollResponse) {
		longest = max(longest, len(response.Difference), len(response.Content))
	}
	content := desiredWithManyRoutes(t, moveOneRoute)
	scene.apply(content, 300*monotonic.Millisecond)
	scene.checkAdopted(content)
	if sum := scene.adoptionTotals(); sum.differences != 8 || sum.fullStates != 8 || sum.rejected != 0 || sum.computed != 1 {
		t.Errorf("%+v", sum)
	}
	if longest == 0 || longest > 300 || complete < 30000 {
		t.Errorf("%d bytes were sent, of %d", longest, complete)
	}
}

// TestRefusedDifferences: a difference that is damaged, truncated or from another base changes nothing. The proxy reports it and
// receives the full state by its next poll.
func TestRefusedDifferences(t *testing.T) {
	for name, damage := range map[string]func(response *wire.ConfigPollResponse){
		"a bit": func(response *wire.ConfigPollResponse) { response.Difference[len(response.Difference)-2] ^= 1 },
		"cut short": func(response *wire.ConfigPollResponse) {
			response.Difference = response.Difference[:len(response.Difference)/2]
		},
		"another base":    func(response *wire.ConfigPollResponse) { response.Difference[5] ^= 1 },
		"another version": func(response *wire.ConfigPollResponse) { response.Version++ },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scene := newConfigChangeScene(t)
			defer scene.mesh.World.Close()
			scene.mesh.onDesiredPoll = func(_ *wire.ConfigPollRequest, response *wire.ConfigPollResponse) {
				if len(response.Difference) > 0 {
					response.Difference = bytes.Clone(response.Difference) // the configuration store sends the same slice to others
					damage(response)
				}
			}
			content := desiredWithManyRoutes(t, moveOneRoute)
			scene.apply(content, 300*monotonic.Millisecond)
			scene.checkAdopted(content)
			if sum := scene.adoptionTotals(); sum.differences != 0 || sum.fullStates != 16 || sum.rejected != 8 || scene.events[eventlog.DeltaRejected] != 8 {
				t.Errorf("%+v, %d events", sum, scene.events[eventlog.DeltaRejected])
			}
			// The next change is sent as a difference again.
			scene.mesh.onDesiredPoll = nil
			scene.apply(desiredWithManyRoutes(t, nil), 300*monotonic.Millisecond)
			if sum := scene.adoptionTotals(); sum.differences != 8 || sum.fullStates != 16 {
				t.Errorf("%+v", sum)
			}
		})
	}
}

// TestNoDifferenceSupport: if the configuration stores send no differences, proxies adopt the full state and keep the objects of what it
// does not change.
func TestNoDifferenceSupport(t *testing.T) {
	scene := newConfigChangeScene(t)
	defer scene.mesh.World.Close()
	content := desiredWithManyRoutes(t, moveOneRoute)
	scene.mesh.onDesiredPoll = func(_ *wire.ConfigPollRequest, response *wire.ConfigPollResponse) {
		if len(response.Difference) > 0 {
			response.Difference, response.Content = nil, content
		}
	}
	scene.apply(content, 300*monotonic.Millisecond)
	scene.checkAdopted(content)
	if sum := scene.adoptionTotals(); sum.differences != 0 || sum.fullStates != 16 || sum.rejected != 0 {
		t.Errorf("%+v", sum)
	}
}

// TestFullStateAfterRestarts: a restarted proxy receives the full state, and differences from then on. A new primary sends differences
// from the versions that its replica holds.
func TestFullStateAfterRestarts(t *testing.T) {
	scene := newConfigChangeScene(t)
	defer scene.mesh.World.Close()
	mesh := scene.mesh
	mesh.World.Kill(mesh.World.Node("carrier-3"))
	mesh.World.Start(mesh.World.Node("carrier-3"))
	primary := mesh.primary(configstore.Group)
	mesh.World.Kill(primary)
	scene.run(10 * monotonic.Second)
	delete(scene.before, "carrier-3")
	snapshot, _ := mesh.proxies["carrier-3"].ConfigClient.Current()
	if snapshot == nil || snapshot.Version != 1 {
		t.Fatal("the proxy has not adopted the active version")
	}
	scene.before["carrier-3"], scene.calls["carrier-3"] = snapshot, 0
	delete(scene.budgets, "carrier-3") // the budget starts again
	content := desiredWithManyRoutes(t, moveOneRoute)
	scene.apply(content, 8*monotonic.Second)
	scene.checkAdopted(content)
	if sum := scene.adoptionTotals(); sum.differences != 8 || sum.fullStates != 8 || sum.rejected != 0 {
		t.Errorf("%+v, %s", sum, strings.Join(mesh.log, "\n"))
	}
}

// submit sends a submission with an idempotency key through a proxy and returns the attempt once it has ended.
func (s *configChangeScene) submit(caller int, key string) *invariants.Attempt {
	attempt := s.startSubmission(caller, key)
	for limit := s.mesh.World.Now() + 8*monotonic.Second; attempt.Ended == 0 && s.mesh.World.Now() < limit; {
		s.run(10 * monotonic.Millisecond)
	}
	if attempt.Ended == 0 {
		s.t.Errorf("%s has no end", attempt.ID)
	}
	return attempt
}

func (s *configChangeScene) startSubmission(caller int, key string) *invariants.Attempt {
	mesh := s.mesh
	mesh.nextID++
	attempt := &invariants.Attempt{ID: fmt.Sprintf("keyed-%d", mesh.nextID), Key: key, Kind: "submission", Proxy: mesh.proxyNames[caller], Method: "POST", Path: "/households/" + key, Sent: mesh.World.Now()}
	mesh.History.RecordAttempt(attempt)
	mesh.External.Go(func() { mesh.send(attempt) })
	return attempt
}

// executed returns the services on which a key was executed.
func (s *configChangeScene) executed(key string) (services []string) {
	for _, run := range s.mesh.History.BackendRequests {
		if run.Key == key && run.Executed {
			services = append(services, run.Service)
		}
	}
	return services
}

// TestKeysOutlastChanges: an attempt before a change of its route's service and one after it are one operation, whatever the outcome of
// the first. Keys of a removed route stay claimed. A request in flight ends under the version that it began with.
func TestKeysOutlastChanges(t *testing.T) {
	scene := newConfigChangeScene(t)
	mesh := scene.mesh
	defer mesh.World.Close()
	mesh.serving = false
	scene.run(10 * monotonic.Second)
	moved := func(state *wire.DesiredState) { state.Routes[1].Split[0].Service = "forms" }
	removed := func(state *wire.DesiredState) { state.Routes = append(state.Routes[:1:1], state.Routes[2:]...) }
	served := func(what string, attempt *invariants.Attempt, version uint64, key string) {
		t.Helper()
		if attempt.RejectedByMesh || attempt.Status != 200 || attempt.Version != version || len(scene.executed(key)) != 1 || scene.executed(key)[0] != "households" {
			t.Errorf("%s: %+v, ran on %v", what, attempt, scene.executed(key))
		}
	}
	began := mesh.World.Now()
	served("before the change", scene.submit(0, "answered"), 1, "answered")
	// The response to this one is lost.
	for _, backend := range mesh.liveBackends("households") {
		backend.behavior = "losing"
	}
	if lost := scene.submit(1, "lost"); !lost.RejectedByMesh || lost.NotRun || len(scene.executed("lost")) != 1 {
		t.Errorf("%+v, ran on %v", lost, scene.executed("lost"))
	}
	for _, backend := range mesh.liveBackends("") {
		backend.behavior = ""
	}
	// This one is in flight during the change.
	mesh.workDuration = 2 * monotonic.Second
	under := scene.startSubmission(2, "under")
	scene.run(500 * monotonic.Millisecond)
	scene.apply(desiredWithManyRoutes(t, moved), 300*monotonic.Millisecond)
	if under.Ended != 0 || len(scene.executed("under")) != 1 {
		t.Fatalf("it is not in flight: %+v", under)
	}
	repeat := scene.startSubmission(5, "under")
	scene.run(8 * monotonic.Second)
	served("in flight", under, 1, "under")
	if repeat.RejectedByMesh && repeat.NotRun {
		t.Errorf("a repeat meanwhile: %+v", repeat)
	}
	mesh.workDuration = 0
	for caller := range 8 {
		served("served before the change, repeated after it", scene.submit(caller, "answered"), 2, "answered")
		served("in flight during the change, repeated after it", scene.submit(caller, "under"), 2, "under")
	}
	if fresh := scene.submit(3, "fresh"); fresh.Status != 200 || len(scene.executed("fresh")) != 1 || scene.executed("fresh")[0] != "forms" {
		t.Errorf("a new key isn't run where the route leads now: %+v, ran on %v", fresh, scene.executed("fresh"))
	}
	if again := scene.submit(4, "lost"); again.RejectedByMesh && again.NotRun || len(scene.executed("lost")) != 1 {
		t.Errorf("%+v, ran on %v", again, scene.executed("lost"))
	}
	// Without its route a key is not executed, and its rejection does not state that it has not run.
	scene.apply(desiredWithManyRoutes(t, removed), 300*monotonic.Millisecond)
	for _, key := range []string{"answered", "lost", "under", "fresh"} {
		if rejected := scene.submit(6, key); !rejected.RejectedByMesh || rejected.NotRun || rejected.Cause != int(apierror.UnknownPath) {
			t.Errorf("without a route: %+v", rejected)
		}
	}
	scene.apply(desiredWithManyRoutes(t, moved), 300*monotonic.Millisecond)
	for key, first := range map[string]string{"answered": "households", "lost": "households", "under": "households", "fresh": "forms"} {
		for caller := range 3 {
			scene.submit(caller, key)
		}
		if ran := scene.executed(key); len(ran) != 1 || ran[0] != first {
			t.Errorf("%s ran on %v", key, ran)
		}
	}
	if took := mesh.World.Now() - began; took > monotonic.Minute {
		t.Errorf("the claims' time may have run out: %d", took)
	}
	if findings, seen := invariants.CheckRules(mesh.History, 1, 2, 3); len(findings) > 0 || seen[1] == 0 {
		t.Error(findings, seen)
	}
}

// TestOperatorsSeeChanges: the operators' API shows in what two versions differ, what a content would change, and which version each
// node has.
func TestOperatorsSeeChanges(t *testing.T) {
	scene := newConfigChangeScene(t)
	mesh := scene.mesh
	defer mesh.World.Close()
	scene.apply(desiredWithManyRoutes(t, moveOneRoute), monotonic.Second)
	pages := api.New(mesh.External, mesh.resolver, http.NotFoundHandler(), func() any { return nil }, config.Parse)
	call := func(method, path string, content []byte, into any) int {
		t.Helper()
		recorder := httptest.NewRecorder()
		mesh.External.Go(func() { pages.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader(content))) })
		scene.run(3 * monotonic.Second)
		if into != nil {
			if err := json.Unmarshal(recorder.Body.Bytes(), into); err != nil {
				t.Fatalf("%s: %v: %s", path, err, recorder.Body)
			}
		}
		return recorder.Code
	}
	listed := api.Comparison{}
	moved := changes.Summary{Added: []changes.ResourceChange{}, Removed: []changes.ResourceChange{}, Changed: []changes.ResourceChange{{Kind: "route", Name: "batch-47", Fields: []string{"split"}}}}
	if code := call("GET", "/changes?from=1&to=2", nil, &listed); code != 200 || !reflect.DeepEqual(listed.Summary, moved) || listed.To != 2 || listed.Proxies != 8 || listed.DifferenceBytes > 300 || listed.FullBytes < 30000 {
		t.Errorf("%d %+v", code, listed)
	}
	preview := api.Comparison{}
	content := desiredWithManyRoutes(t, func(state *wire.DesiredState) { state.Routes = state.Routes[:manyRoutes] })
	if code := call("POST", "/changes", content, &preview); code != 200 || preview.From != 2 || preview.To != 0 || len(preview.Summary.Changed) != 1 || len(preview.Summary.Removed) != 3 || preview.Proxies != 8 {
		t.Errorf("%d %+v", code, preview)
	}
	if mesh.latestVersion != 2 {
		t.Error("a preview was applied")
	}
	for path, expected := range map[string]int{"/changes?from=1&to=9": 404, "/changes?from=one": 400} {
		if code := call("GET", path, nil, nil); code != expected {
			t.Errorf("%s: %d", path, code)
		}
	}
	for _, broken := range []string{"{", strings.Replace(string(content), `"once"`, `"twice"`, 1), strings.Replace(string(content), `"forms"`, `"norms"`, 1)} {
		if code := call("POST", "/changes", []byte(broken), nil); code != 400 {
			t.Errorf("a broken content: %d", code)
		}
	}
	overview := api.Overview{}
	call("GET", "/status", nil, &overview)
	statuses := map[string]configstore.Status{}
	for name, content := range overview.ConfigStores {
		status := configstore.Status{}
		if err := json.Unmarshal(content, &status); err != nil {
			t.Fatal(err)
		}
		statuses[name] = status
	}
	progress, found := rollout.FromStatuses(statuses)
	if !found || !progress.Done() || progress.Version != 2 || len(progress.Nodes) != 8 {
		t.Errorf("%+v", progress)
	}
	for _, node := range progress.Nodes {
		if node.AdoptedVersion != 2 || node.AdoptionMicros <= 0 || node.AdoptionMicros > 20000 || node.AdoptedForMicros < 10000000 {
			t.Errorf("%+v", node)
		}
	}
}
