package scenario

import (
	"fmt"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/request"
)

// desiredWithRoutes returns a variant of a desired state in which the services have no paths and requests are matched by routes only.
func desiredWithRoutes(variant int) []byte {
	return []byte(fmt.Sprintf(`{"note":"variant %d","groups":[{"name":"field",
"guard":{"windowCalls":30,"minimumCalls":8,"failureRate":0.5,"waitOpenMicros":2000000,"permittedHalfOpen":4,"probeTenureMicros":4000000},
"retry":{"mostTries":3,"budgetRatio":0.2,"allowance":10},"limits":{"cutoffMicros":4000000},
"services":[{"name":"forms"},{"name":"households"}]}],
"routes":[{"name":"forms","prefix":"/forms","class":"read","split":[{"service":"forms","weight":1}]},
{"name":"households","method":"POST","prefix":"/households","class":"once","split":[{"service":"households","weight":1}]},
{"name":"single","host":"a.example","method":"POST","prefix":"/single/","class":"single","cutoffMicros":1500000,"priority":2,"mostTries":4,
"split":[{"service":"forms","weight":3},{"service":"households","weight":%d}]}]}`, variant, variant%2))
}

// TestRoutes sends requests of the class "single", which may run at most once and have no idempotency key, to a mesh that has only routes,
// during faults. None may be executed twice, be executed although it was rejected as not run, or last longer than its route's deadline.
func TestRoutes(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var mesh *Mesh
			singles := map[string]*invariants.Attempt{}
			late, variant := 0, 0
			losing := fault{"a backend loses its responses, another executes nothing", func(mesh *Mesh) {
				for index, misbehavior := range []behavior{losing, notExecuting} {
					if live := mesh.liveBackends("forms"); index < len(live) {
						live[index].behavior = misbehavior
						mesh.after(2*monotonic.Second, func() { live[index].behavior = "" })
					}
				}
			}}
			frozen := map[string]monotonic.Micros{} // the end of each proxy's latest freeze; a frozen proxy can't respond in time
			freeze := fault{"freeze a proxy", func(mesh *Mesh) {
				name, duration := pick(mesh, mesh.proxyNames), mesh.randomDuration(300*monotonic.Millisecond, 8*monotonic.Second)
				frozen[name] = max(frozen[name], mesh.World.Now()+duration)
				mesh.freezeNode(mesh.World.Node(name), duration)
			}}
			change := fault{"apply the next variant", func(mesh *Mesh) {
				variant++
				content := desiredWithRoutes(variant)
				mesh.startApply(content, 20*monotonic.Second)
			}}
			send := func(number int) {
				caller := pick(mesh, mesh.proxyNames)
				attempt := &invariants.Attempt{ID: fmt.Sprintf("single-%d", number), Kind: "single", Proxy: caller, Method: "POST", Path: fmt.Sprintf("/single/%d", number), Sent: mesh.World.Now()}
				singles[attempt.ID] = attempt
				mesh.History.RecordAttempt(attempt)
				_, _ = mesh.transactReply(attempt, func(instance *proxy.Proxy) (*request.Response, *apierror.Error, error) {
					began := instance.Now()
					response, rejection := instance.Forwarder.Forward(&request.Request{ID: attempt.ID, Host: "A.example:8080", Method: "POST", Target: attempt.Path, ReadAt: instance.LeaderClock()})
					if instance.Now()-began > 1600*monotonic.Millisecond && frozen[caller] < attempt.Sent {
						late++
					}
					return response, rejection, nil
				})
			}
			result := Run(Scenario{Name: "routes", Topology: smallTopology, Duration: 60 * monotonic.Second, Rate: 20, FaultInterval: 2 * monotonic.Second, DesiredState: desiredWithRoutes,
				Rules: []int{1, 2, 3, 5, 8}, InitialFaults: []fault{change, losing, misbehaveBackend, killProxy},
				Faults: []fault{change, change, misbehaveBackend, killProxy, freeze, partitionProxies, replaceBackend, killPrimary, failService},
				Prepare: func(built *Mesh) {
					mesh = built
					for _, service := range []string{"forms", "households"} {
						mesh.History.AllowRoute("single", service, 0)
					}
					mesh.External.Go(func() {
						for number := 0; mesh.serving || number == 0; number++ {
							mesh.External.Sleep(monotonic.Micros(mesh.World.Rand().Uint64N(uint64(60 * monotonic.Millisecond))))
							mesh.External.Go(func() { send(number) })
						}
					})
				}}, seed, Defects{})
			for _, finding := range result.Findings {
				t.Error(finding)
			}
			executed, retries, services := map[string]int{}, 0, map[string]int{}
			for _, run := range mesh.History.BackendRequests {
				attempt := singles[run.AttemptID]
				if attempt == nil {
					continue
				}
				services[run.Service]++
				if run.Executed {
					executed[run.AttemptID]++
				}
				if run.AttemptNumber > 1 {
					retries++
				}
			}
			counts := map[string]int{}
			for id, attempt := range singles {
				if executed[id] > 1 {
					t.Errorf("%s was executed %d times", id, executed[id])
				}
				if attempt.RejectedByMesh && attempt.NotRun && executed[id] > 0 {
					t.Errorf("%s was rejected as not run with cause %d, but was executed", id, attempt.Cause)
				}
				switch {
				case attempt.TransportError != "":
					counts["proxy lost"]++
				case !attempt.RejectedByMesh:
					counts["served"]++
				case attempt.NotRun:
					counts["not run"]++
				default:
					counts["may have run"]++
				}
				if attempt.Cause == int(apierror.MissingKey) || attempt.Cause == int(apierror.UnknownPath) {
					t.Errorf("%s was rejected with cause %d", id, attempt.Cause)
				}
			}
			t.Logf("%d single requests: %v; runs by service %v, %d of them in retries", len(singles), counts, services, retries)
			if counts["served"] < 500 || counts["may have run"] == 0 || retries == 0 || services["forms"] == 0 || services["households"] == 0 || late > 0 {
				t.Errorf("outcomes %v, %d retries, runs by service %v, %d past the deadline", counts, retries, services, late)
			}
		})
	}
}
