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

// manyRoutes is the number of additional routes that no traffic matches.
const manyRoutes = 400

// desiredWithManyRoutes returns a desired state with the routes of desiredWithRoutes and manyRoutes others. alter, unless nil, changes it
// before it is encoded.
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

// moveOneRoute moves the route batch-47 to another service.
func moveOneRoute(state *wire.DesiredState) { state.Routes[50].Split[0].Service = "households" }

// configChangeFixture is a mesh of eight proxies that have adopted desiredWithManyRoutes and serve traffic while tests change it. The maps
// by proxy hold the values before the change.
type configChangeFixture struct {
	t       *testing.T
	mesh    *Mesh
	events  map[int]int                 // how often each event was reported
	before  map[string]*config.Snapshot // the adopted snapshot, by proxy
	calls   map[string]uint64           // the calls that the breakers have counted, by proxy
	budgets map[string]float64          // the retry budget of forms, by proxy
}

func newConfigChangeFixture(t *testing.T) *configChangeFixture {
	fixture := &configChangeFixture{t: t, mesh: Build(1, Topology{Cores: 3, Proxies: 8, Zones: 2, Backends: 3}, Defects{}), events: map[int]int{}, before: map[string]*config.Snapshot{}, calls: map[string]uint64{}, budgets: map[string]float64{}}
	fixture.mesh.World.Trace = func(_ monotonic.Micros, _ string, number int, _ map[string]any) { fixture.events[number]++ }
	fixture.apply(desiredWithManyRoutes(t, nil), 8*monotonic.Second)
	fixture.mesh.startTraffic(60)
	fixture.run(10 * monotonic.Second)
	for name, instance := range fixture.mesh.proxies {
		fixture.before[name], _ = instance.ConfigClient.Current()
		fixture.calls[name], fixture.budgets[name] = fixture.countedCalls(name), instance.RetryBudget.Balance("forms")
	}
	return fixture
}

func (f *configChangeFixture) run(duration monotonic.Micros) {
	f.mesh.runFor(duration)
}

func (f *configChangeFixture) apply(content []byte, within monotonic.Micros) {
	f.t.Helper()
	acknowledged := false
	f.mesh.External.Go(func() {
		response := f.mesh.applyDesired(content, true, 0, 20*monotonic.Second)
		acknowledged = response != nil && response.Outcome == "accepted"
	})
	f.run(within)
	if !acknowledged {
		f.t.Errorf("the change was not acknowledged within %d microseconds", within)
	}
}

// countedCalls returns the total number of calls that a proxy's breakers have counted.
func (f *configChangeFixture) countedCalls(name string) (calls uint64) {
	for _, status := range f.mesh.proxies[name].Breakers.Statuses() {
		calls += status.Calls
	}
	return calls
}

// changedVersion is the version of the first change that a test applies.
const changedVersion = 2

// checkAdopted checks that every proxy has adopted a content changed by moveOneRoute as changedVersion, and has kept the objects of all
// other routes and of the services.
func (f *configChangeFixture) checkAdopted(content []byte) {
	t := f.t
	t.Helper()
	for _, name := range f.mesh.proxyNames {
		snapshot, live := f.mesh.proxies[name].ConfigClient.Current()
		if !live || snapshot.Version != changedVersion || snapshot.Digest != config.Digest(content) {
			t.Errorf("%s: not the changed content: version %d, live %v", name, snapshot.Version, live)
			continue
		}
		before := f.before[name]
		for service := range before.Services {
			if snapshot.Services[service] != before.Services[service] {
				t.Errorf("%s: service %s was replaced by a new object", name, service)
			}
		}
		for number := range manyRoutes {
			host, path := fmt.Sprintf("h%d.example", number%10), fmt.Sprintf("/batches/%d/1", number)
			if changed := number == 47; changed == (snapshot.Lookup(host, "GET", path) == before.Lookup(host, "GET", path)) {
				t.Errorf("%s: batch-%d: changed %v, the same object %v", name, number, changed, !changed)
			}
		}
		if found := snapshot.Lookup("h7.example", "GET", "/batches/47/1"); found == nil || found.Service != snapshot.Services["households"] {
			t.Errorf("%s: batch-47 is routed by %v", name, found)
		}
		if now := f.countedCalls(name); now < f.calls[name] {
			t.Errorf("%s: %d calls counted, %d before the change", name, now, f.calls[name])
		}
		// Nothing is retried here, and first attempts refill the budget.
		if budget, known := f.budgets[name]; known && (f.mesh.proxies[name].RetryBudget.Balance("forms") < budget || budget == 0) {
			t.Errorf("%s: the retry budget is %v, %v before the change", name, f.mesh.proxies[name].RetryBudget.Balance("forms"), budget)
		}
	}
}

// adoptionTotals counts what all proxies have adopted and rejected, and the differences that the configuration stores have computed.
type adoptionTotals struct{ differences, fullStates, rejected, computed uint64 }

func (f *configChangeFixture) adoptionTotals() (sum adoptionTotals) {
	for _, name := range f.mesh.proxyNames {
		adopted := f.mesh.proxies[name].ConfigClient.Stats()
		sum.differences, sum.fullStates, sum.rejected = sum.differences+adopted.Differences, sum.fullStates+adopted.FullStates, sum.rejected+adopted.Rejected
	}
	for _, store := range f.mesh.configStores {
		sum.computed += store.DifferencesComputed()
	}
	return sum
}

// TestChangesSentAsDifferences checks that eight proxies under traffic adopt a change of one route as a difference, and that the
// difference is computed only once.
func TestChangesSentAsDifferences(t *testing.T) {
	fixture := newConfigChangeFixture(t)
	defer fixture.mesh.World.Close()
	longest, fullSize := 0, len(desiredWithManyRoutes(t, nil))
	fixture.mesh.onDesiredPoll = func(_ *wire.ConfigPollRequest, response *wire.ConfigPollResponse) {
		longest = max(longest, len(response.Difference), len(response.Content))
	}
	content := desiredWithManyRoutes(t, moveOneRoute)
	fixture.apply(content, 300*monotonic.Millisecond)
	fixture.checkAdopted(content)
	if sum := fixture.adoptionTotals(); sum.differences != 8 || sum.fullStates != 8 || sum.rejected != 0 || sum.computed != 1 {
		t.Errorf("adoptions: %+v", sum)
	}
	if longest == 0 || longest > 300 || fullSize < 30000 {
		t.Errorf("at most %d bytes were sent in a response, the full state has %d", longest, fullSize)
	}
}

// TestRefusedDifferences checks that a difference that is corrupt, truncated or computed from another base changes nothing. The proxy
// reports it and receives the full state in response to its next poll.
func TestRefusedDifferences(t *testing.T) {
	for name, corrupt := range map[string]func(response *wire.ConfigPollResponse){
		"a bit": func(response *wire.ConfigPollResponse) { response.Difference[len(response.Difference)-2] ^= 1 },
		"cut short": func(response *wire.ConfigPollResponse) {
			response.Difference = response.Difference[:len(response.Difference)/2]
		},
		"another base":    func(response *wire.ConfigPollResponse) { response.Difference[5] ^= 1 },
		"another version": func(response *wire.ConfigPollResponse) { response.Version++ },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newConfigChangeFixture(t)
			defer fixture.mesh.World.Close()
			fixture.mesh.onDesiredPoll = func(_ *wire.ConfigPollRequest, response *wire.ConfigPollResponse) {
				if len(response.Difference) > 0 {
					response.Difference = bytes.Clone(response.Difference) // the configuration store sends the same slice to other proxies
					corrupt(response)
				}
			}
			content := desiredWithManyRoutes(t, moveOneRoute)
			fixture.apply(content, 300*monotonic.Millisecond)
			fixture.checkAdopted(content)
			if sum := fixture.adoptionTotals(); sum.differences != 0 || sum.fullStates != 16 || sum.rejected != 8 || fixture.events[eventlog.DeltaRejected] != 8 {
				t.Errorf("adoptions: %+v, %d rejection events", sum, fixture.events[eventlog.DeltaRejected])
			}
			// The next change is sent as a difference again.
			fixture.mesh.onDesiredPoll = nil
			fixture.apply(desiredWithManyRoutes(t, nil), 300*monotonic.Millisecond)
			if sum := fixture.adoptionTotals(); sum.differences != 8 || sum.fullStates != 16 {
				t.Errorf("adoptions after the next change: %+v", sum)
			}
		})
	}
}

// TestNoDifferenceSupport checks that proxies adopt the full state if the configuration stores send no differences, and that they keep the
// objects of everything that the state does not change.
func TestNoDifferenceSupport(t *testing.T) {
	fixture := newConfigChangeFixture(t)
	defer fixture.mesh.World.Close()
	content := desiredWithManyRoutes(t, moveOneRoute)
	fixture.mesh.onDesiredPoll = func(_ *wire.ConfigPollRequest, response *wire.ConfigPollResponse) {
		if len(response.Difference) > 0 {
			response.Difference, response.Content = nil, content
		}
	}
	fixture.apply(content, 300*monotonic.Millisecond)
	fixture.checkAdopted(content)
	if sum := fixture.adoptionTotals(); sum.differences != 0 || sum.fullStates != 16 || sum.rejected != 0 {
		t.Errorf("adoptions: %+v", sum)
	}
}

// TestFullStateAfterRestarts checks that a restarted proxy receives the full state first and differences from then on. A new primary sends
// differences from the versions that its replica has stored.
func TestFullStateAfterRestarts(t *testing.T) {
	fixture := newConfigChangeFixture(t)
	defer fixture.mesh.World.Close()
	mesh := fixture.mesh
	mesh.World.Kill(mesh.World.Node("carrier-3"))
	mesh.World.Start(mesh.World.Node("carrier-3"))
	primary := mesh.primary(configstore.Group)
	mesh.World.Kill(primary)
	fixture.run(10 * monotonic.Second)
	delete(fixture.before, "carrier-3")
	snapshot, _ := mesh.proxies["carrier-3"].ConfigClient.Current()
	if snapshot == nil || snapshot.Version != 1 {
		t.Fatal("the proxy has not adopted the active version")
	}
	fixture.before["carrier-3"], fixture.calls["carrier-3"] = snapshot, 0
	delete(fixture.budgets, "carrier-3") // the budget was reset by the restart
	content := desiredWithManyRoutes(t, moveOneRoute)
	fixture.apply(content, 8*monotonic.Second)
	fixture.checkAdopted(content)
	if sum := fixture.adoptionTotals(); sum.differences != 8 || sum.fullStates != 8 || sum.rejected != 0 {
		t.Errorf("adoptions: %+v, log:\n%s", sum, strings.Join(mesh.log, "\n"))
	}
}

// submit sends a submission with an idempotency key through the proxy with an index, and returns the attempt once it has ended.
func (f *configChangeFixture) submit(caller int, key string) *invariants.Attempt {
	attempt := f.startSubmission(caller, key)
	for limit := f.mesh.World.Now() + 8*monotonic.Second; attempt.Ended == 0 && f.mesh.World.Now() < limit; {
		f.run(10 * monotonic.Millisecond)
	}
	if attempt.Ended == 0 {
		f.t.Errorf("%s has not ended", attempt.ID)
	}
	return attempt
}

func (f *configChangeFixture) startSubmission(caller int, key string) *invariants.Attempt {
	mesh := f.mesh
	mesh.nextID++
	attempt := &invariants.Attempt{ID: fmt.Sprintf("keyed-%d", mesh.nextID), Key: key, Kind: "submission", Proxy: mesh.proxyNames[caller], Method: "POST", Path: "/households/" + key, Sent: mesh.World.Now()}
	mesh.History.RecordAttempt(attempt)
	mesh.External.Go(func() { mesh.send(attempt) })
	return attempt
}

// executed returns the services that executed a key, one entry per execution.
func (f *configChangeFixture) executed(key string) (services []string) {
	for _, run := range f.mesh.History.BackendRequests {
		if run.Key == key && run.Executed {
			services = append(services, run.Service)
		}
	}
	return services
}

// TestKeysOutlastChanges checks that a request and its retries are executed once even if their route is moved to another service in
// between, whatever the outcome of the first attempt. Keys of a removed route stay claimed. A request in flight ends under the version
// that it began with.
func TestKeysOutlastChanges(t *testing.T) {
	fixture := newConfigChangeFixture(t)
	mesh := fixture.mesh
	defer mesh.World.Close()
	mesh.serving = false
	fixture.run(10 * monotonic.Second)
	moved := func(state *wire.DesiredState) { state.Routes[1].Split[0].Service = "forms" }
	removed := func(state *wire.DesiredState) { state.Routes = append(state.Routes[:1:1], state.Routes[2:]...) }
	checkServed := func(what string, attempt *invariants.Attempt, version uint64, key string) {
		t.Helper()
		if attempt.RejectedByMesh || attempt.Status != 200 || attempt.Version != version || len(fixture.executed(key)) != 1 || fixture.executed(key)[0] != "households" {
			t.Errorf("%s: %+v, executed by %v", what, attempt, fixture.executed(key))
		}
	}
	began := mesh.World.Now()
	checkServed("before the change", fixture.submit(0, "answered"), 1, "answered")
	// The response to the next request is lost.
	for _, backend := range mesh.liveBackends("households") {
		backend.behavior = "losing"
	}
	if lost := fixture.submit(1, "lost"); !lost.RejectedByMesh || lost.NotRun || len(fixture.executed("lost")) != 1 {
		t.Errorf("lost response: %+v, executed by %v", lost, fixture.executed("lost"))
	}
	for _, backend := range mesh.liveBackends("") {
		backend.behavior = ""
	}
	// The next request is in flight during the change.
	mesh.workDuration = 2 * monotonic.Second
	inFlight := fixture.startSubmission(2, "under")
	fixture.run(500 * monotonic.Millisecond)
	fixture.apply(desiredWithManyRoutes(t, moved), 300*monotonic.Millisecond)
	if inFlight.Ended != 0 || len(fixture.executed("under")) != 1 {
		t.Fatalf("the request is not in flight during the change: %+v", inFlight)
	}
	repeat := fixture.startSubmission(5, "under")
	fixture.run(8 * monotonic.Second)
	checkServed("in flight", inFlight, 1, "under")
	if repeat.RejectedByMesh && repeat.NotRun {
		t.Errorf("a retry while the request was in flight: %+v", repeat)
	}
	mesh.workDuration = 0
	for caller := range 8 {
		checkServed("served before the change, retried after it", fixture.submit(caller, "answered"), 2, "answered")
		checkServed("in flight during the change, retried after it", fixture.submit(caller, "under"), 2, "under")
	}
	if fresh := fixture.submit(3, "fresh"); fresh.Status != 200 || len(fixture.executed("fresh")) != 1 || fixture.executed("fresh")[0] != "forms" {
		t.Errorf("a new key is not executed by the route's new service: %+v, executed by %v", fresh, fixture.executed("fresh"))
	}
	if again := fixture.submit(4, "lost"); again.RejectedByMesh && again.NotRun || len(fixture.executed("lost")) != 1 {
		t.Errorf("retry after a lost response: %+v, executed by %v", again, fixture.executed("lost"))
	}
	// Without its route a key is not executed, and the rejection does not claim that it never was.
	fixture.apply(desiredWithManyRoutes(t, removed), 300*monotonic.Millisecond)
	for _, key := range []string{"answered", "lost", "under", "fresh"} {
		if rejected := fixture.submit(6, key); !rejected.RejectedByMesh || rejected.NotRun || rejected.Cause != int(apierror.UnknownPath) {
			t.Errorf("a key without a route: %+v", rejected)
		}
	}
	fixture.apply(desiredWithManyRoutes(t, moved), 300*monotonic.Millisecond)
	for key, first := range map[string]string{"answered": "households", "lost": "households", "under": "households", "fresh": "forms"} {
		for caller := range 3 {
			fixture.submit(caller, key)
		}
		if ran := fixture.executed(key); len(ran) != 1 || ran[0] != first {
			t.Errorf("%s was executed by %v", key, ran)
		}
	}
	if took := mesh.World.Now() - began; took > monotonic.Minute {
		t.Errorf("the test took %d microseconds, the claims may have expired", took)
	}
	if findings, seen := invariants.CheckRules(mesh.History, 1, 2, 3); len(findings) > 0 || seen[1] == 0 {
		t.Error(findings, seen)
	}
}

// TestOperatorsSeeChanges checks that the operators' API shows how two versions differ, what a submitted content would change, and which
// version each proxy has adopted.
func TestOperatorsSeeChanges(t *testing.T) {
	fixture := newConfigChangeFixture(t)
	mesh := fixture.mesh
	defer mesh.World.Close()
	fixture.apply(desiredWithManyRoutes(t, moveOneRoute), monotonic.Second)
	operatorAPI := api.New(mesh.External, mesh.resolver, http.NotFoundHandler(), func() any { return nil }, config.Parse)
	call := func(method, path string, content []byte, into any) int {
		t.Helper()
		recorder := httptest.NewRecorder()
		mesh.External.Go(func() { operatorAPI.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader(content))) })
		fixture.run(3 * monotonic.Second)
		if into != nil {
			if err := json.Unmarshal(recorder.Body.Bytes(), into); err != nil {
				t.Fatalf("%s: %v: %s", path, err, recorder.Body)
			}
		}
		return recorder.Code
	}
	comparison := api.Comparison{}
	moved := changes.Summary{Added: []changes.ResourceChange{}, Removed: []changes.ResourceChange{}, Changed: []changes.ResourceChange{{Kind: "route", Name: "batch-47", Fields: []string{"split"}}}}
	if code := call("GET", "/changes?from=1&to=2", nil, &comparison); code != 200 || !reflect.DeepEqual(comparison.Summary, moved) || comparison.To != 2 || comparison.Proxies != 8 || comparison.DifferenceBytes > 300 || comparison.FullBytes < 30000 {
		t.Errorf("comparison of two versions: status %d, %+v", code, comparison)
	}
	preview := api.Comparison{}
	content := desiredWithManyRoutes(t, func(state *wire.DesiredState) { state.Routes = state.Routes[:manyRoutes] })
	if code := call("POST", "/changes", content, &preview); code != 200 || preview.From != 2 || preview.To != 0 || len(preview.Summary.Changed) != 1 || len(preview.Summary.Removed) != 3 || preview.Proxies != 8 {
		t.Errorf("preview: status %d, %+v", code, preview)
	}
	if mesh.latestVersion != 2 {
		t.Error("a preview was applied")
	}
	for path, expected := range map[string]int{"/changes?from=1&to=9": 404, "/changes?from=one": 400} {
		if code := call("GET", path, nil, nil); code != expected {
			t.Errorf("%s: status %d", path, code)
		}
	}
	for _, invalid := range []string{"{", strings.Replace(string(content), `"once"`, `"twice"`, 1), strings.Replace(string(content), `"forms"`, `"norms"`, 1)} {
		if code := call("POST", "/changes", []byte(invalid), nil); code != 400 {
			t.Errorf("an invalid content: status %d", code)
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
		t.Errorf("progress of the rollout: %+v", progress)
	}
	for _, node := range progress.Nodes {
		if node.AdoptedVersion != 2 || node.AdoptionMicros <= 0 || node.AdoptionMicros > 20000 || node.AdoptedForMicros < 10000000 {
			t.Errorf("progress of a proxy: %+v", node)
		}
	}
}
