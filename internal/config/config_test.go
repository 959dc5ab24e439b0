package config_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/examples"
	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
)

// TestDesiredStates checks which configurations are accepted or rejected, how requests are resolved, and which settings services
// inherit. It compares them with approved transcripts.
func TestDesiredStates(t *testing.T) {
	datadriven.RunTest(t, "testdata/desired", func(t *testing.T, data *datadriven.TestData) string {
		state, text := parse(t, data)
		if state == nil {
			return text
		}
		snapshot := config.Compile(state, 7, "")
		switch data.Cmd {
		case "resolve", "adopted-resolve":
			return text + describeResolution(snapshot, data.CmdArgs)
		case "route":
			return text + describeRoute(snapshot, data.CmdArgs[0].Key)
		default:
			return text + describeServices(snapshot)
		}
	})
}

// parse reads the configuration of a test case: with ParseAccepted for the commands adopt and adopted-resolve, otherwise with Parse. If
// Parse reports errors, they are returned as text and the state is nil.
func parse(t *testing.T, data *datadriven.TestData) (state *wire.DesiredState, text string) {
	t.Helper()
	if data.Cmd == "adopt" || data.Cmd == "adopted-resolve" {
		state, fieldErrors := config.ParseAccepted([]byte(data.Input))
		if len(fieldErrors) > 0 {
			t.Fatal(fieldErrors)
		}
		return state, ""
	}
	state, fieldErrors := config.Parse([]byte(data.Input))
	for _, fieldError := range fieldErrors {
		// protojson varies the white space of its error texts on purpose.
		text += strings.Join(strings.Fields(fieldError.String()), " ") + "\n"
	}
	if len(fieldErrors) > 0 {
		return nil, text
	}
	return state, ""
}

// describeResolution shows the services that requests are routed to. An argument is a host and a path, or the method of the requests
// after it.
func describeResolution(snapshot *config.Snapshot, arguments []datadriven.CmdArg) string {
	var text strings.Builder
	method := "GET"
	for _, argument := range arguments {
		if argument.Key == "method" {
			method = argument.Vals[0]
			continue
		}
		host, rest, _ := strings.Cut(argument.Key, "/")
		route, found := snapshot.Resolve(host, method, "/"+rest)
		if !found {
			fmt.Fprintf(&text, "%s: nowhere\n", argument.Key)
			continue
		}
		fmt.Fprintf(&text, "%s: %s by %s%s\n", argument.Key, route.Service.Name, route.Host, route.Prefix)
	}
	return text.String()
}

// describeRoute shows the route for a host and a path, and the services that it picks for consecutive random numbers.
func describeRoute(snapshot *config.Snapshot, target string) string {
	var text strings.Builder
	host, rest, _ := strings.Cut(target, "/")
	route, _ := snapshot.Resolve(host, "GET", "/"+rest)
	fmt.Fprintf(&text, "%q once %v single %v cutoff %d aim %d priority %d tries %d, first %s\n", route.Name, route.Once, route.Single, route.Timeout, route.LatencyTarget,
		route.Priority, route.MaxAttempts, route.Service.Name)
	for random := range uint64(9) {
		fmt.Fprintf(&text, "%s ", route.PickService(random).Name)
	}
	for _, name := range []string{"one", "two", "three", "four"} {
		if service, found := route.FindService(name); found {
			fmt.Fprintf(&text, "has %s ", service.Name)
		}
	}
	return strings.TrimSpace(text.String()) + "\n"
}

// describeServices shows some of the effective policies of all services.
func describeServices(snapshot *config.Snapshot) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(snapshot.Services)) {
		service := snapshot.Services[name]
		fmt.Fprintf(&text, "%s of %s: window %d, minimum %d, rate %v, wait %d, probes %d, tries %d, cutoff %d\n", name, service.Group,
			service.Breaker.GetWindowCalls(), service.Breaker.GetMinimumCalls(), service.Breaker.GetFailureRate(), service.Breaker.GetWaitOpenMicros(),
			service.Breaker.GetPermittedHalfOpen(), service.Retry.GetMostTries(), service.Limits.GetCutoffMicros())
	}
	return text.String()
}

// TestExamplesAreValid checks that the shipped example configurations pass this build's validation.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"association", "raahbar", "small"} {
		t.Run(name, func(t *testing.T) {
			content, err := examples.Desired(name)
			if err != nil {
				t.Fatal(err)
			}
			if _, fieldErrors := config.Parse(content); len(fieldErrors) > 0 {
				t.Error(fieldErrors)
			}
		})
	}
}

// resolveByScan is the reference implementation of Snapshot.Resolve without an index: it tries all routes and returns the name of the
// best match.
func resolveByScan(state *wire.DesiredState, host, method, path string) string {
	best, bestScore := "", -1
	for _, route := range state.Routes {
		inPrefix := strings.HasPrefix(path, route.Prefix) && (len(path) == len(route.Prefix) || strings.HasSuffix(route.Prefix, "/") || path[len(route.Prefix)] == '/')
		if !inPrefix || route.Host != "" && route.Host != host || route.Method != "" && route.Method != "*" && route.Method != method {
			continue
		}
		score := 2 * len(route.Prefix)
		if route.Host != "" {
			score += 10000
		}
		if route.Method == method {
			score++
		}
		if score > bestScore {
			best, bestScore = route.Name, score
		}
	}
	return best
}

// TestResolveMatchesScan compares Resolve with a linear scan, over random routes and requests. They consist of few different segments, so
// that many requests match.
func TestResolveMatchesScan(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pick := func(words ...string) string { return words[random.IntN(len(words))] }
	randomPath := func() string {
		path := ""
		for range random.IntN(5) {
			path += "/" + pick("a", "b", "ab")
		}
		return path + pick("", "/")
	}
	matched := 0
	for range 200 {
		state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}}}}}
		for number := range 30 {
			if prefix := randomPath(); prefix != "" {
				state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("r-", number), Host: pick("", "x", "y"), Method: pick("", "GET", "POST"), Prefix: prefix,
					Class: wire.Path_read, Split: []*wire.Share{{Service: "one", Weight: 1}}})
			}
		}
		snapshot := config.Compile(state, 1, "")
		for range 200 {
			host, method, path := pick("", "x", "y", "z"), pick("GET", "POST", "PUT"), "/"+strings.TrimPrefix(randomPath(), "/")
			route, found := snapshot.Resolve(host, method, path)
			want := resolveByScan(state, host, method, path)
			if found != (want != "") || route.Name != want {
				t.Fatalf("%s %s%s: route %q, want %q; routes %v", method, host, path, route.Name, want, state.Routes)
			}
			if found {
				matched++
			}
		}
	}
	if matched < 10000 {
		t.Errorf("only %d requests found a route", matched)
	}
}

// TestPicksByWeight checks that a split picks services in proportion to their weights.
func TestPicksByWeight(t *testing.T) {
	state, fieldErrors := config.Parse([]byte(`{"groups":[{"name":"field","services":[{"name":"one"},{"name":"two"},{"name":"three"}]}],
"routes":[{"name":"r","prefix":"/","class":"read","split":[{"service":"one","weight":90},{"service":"two","weight":0},{"service":"three","weight":10}]}]}`))
	if len(fieldErrors) > 0 {
		t.Fatal(fieldErrors)
	}
	route, _ := config.Compile(state, 1, "").Resolve("", "GET", "/")
	random, counts := rand.New(rand.NewPCG(3, 4)), map[string]int{}
	for range 100000 {
		counts[route.PickService(random.Uint64()).Name]++
	}
	if counts["two"] > 0 || counts["one"] < 89000 || counts["one"] > 91000 || counts["one"]+counts["three"] != 100000 {
		t.Error(counts)
	}
}

// BenchmarkResolve shows that the cost of resolving a request doesn't depend on the number of routes.
func BenchmarkResolve(b *testing.B) {
	for _, count := range []int{10, 10000} {
		state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}}}}}
		for number := range count {
			state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("r-", number), Host: fmt.Sprintf("h%d.example", number%100), Prefix: fmt.Sprintf("/lepu%d/", number),
				Class: wire.Path_read, Split: []*wire.Share{{Service: "one", Weight: 1}}})
		}
		snapshot := config.Compile(state, 1, "")
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, found := snapshot.Resolve("h7.example", "GET", "/lepu7/items/42"); !found {
					b.Fatal("not found")
				}
			}
		})
	}
}
