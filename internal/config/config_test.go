package config_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/examples"
	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
)

// TestDesiredStates keeps transcripts of what is read and refused, and of what services inherit.
func TestDesiredStates(t *testing.T) {
	datadriven.RunTest(t, "testdata/desired", func(t *testing.T, data *datadriven.TestData) string {
		state, fieldErrors := config.Parse([]byte(data.Input))
		var text strings.Builder
		for _, fieldError := range fieldErrors {
			// The JSON library varies its white space on purpose.
			fmt.Fprintln(&text, strings.Join(strings.Fields(fieldError.String()), " "))
		}
		if data.Cmd == "adopt" || data.Cmd == "adopted-resolve" {
			text.Reset()
			if state, fieldErrors = config.ParseAccepted([]byte(data.Input)); len(fieldErrors) > 0 {
				t.Fatal(fieldErrors)
			}
		} else if len(fieldErrors) > 0 {
			return text.String()
		}
		snapshot := config.Compile(state, 7, "")
		if data.Cmd == "resolve" || data.Cmd == "adopted-resolve" {
			method := "GET"
			for _, argument := range data.CmdArgs {
				if argument.Key == "method" {
					method = argument.Vals[0]
					continue
				}
				host, rest, _ := strings.Cut(argument.Key, "/")
				path, found := snapshot.Resolve(host, method, "/"+rest)
				if !found {
					fmt.Fprintf(&text, "%s: nowhere\n", argument.Key)
					continue
				}
				fmt.Fprintf(&text, "%s: %s by %s%s\n", argument.Key, path.Service.Name, path.Host, path.Prefix)
			}
			return text.String()
		}
		if data.Cmd == "route" {
			host, rest, _ := strings.Cut(data.CmdArgs[0].Key, "/")
			path, _ := snapshot.Resolve(host, "GET", "/"+rest)
			fmt.Fprintf(&text, "%q once %v single %v cutoff %d aim %d priority %d tries %d, first %s\n", path.Name, path.Once, path.Single, path.Timeout, path.LatencyTarget,
				path.Priority, path.MaxAttempts, path.Service.Name)
			for random := range uint64(9) {
				fmt.Fprintf(&text, "%s ", path.PickService(random).Name)
			}
			for _, name := range []string{"one", "two", "three", "four"} {
				if service, has := path.FindService(name); has {
					fmt.Fprintf(&text, "has %s ", service.Name)
				}
			}
			return strings.TrimSpace(text.String()) + "\n"
		}
		names := []string{}
		for name := range snapshot.Services {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			service := snapshot.Services[name]
			fmt.Fprintf(&text, "%s of %s: window %d, minimum %d, rate %v, wait %d, probes %d, tries %d, cutoff %d\n", name, service.Group,
				service.Breaker.GetWindowCalls(), service.Breaker.GetMinimumCalls(), service.Breaker.GetFailureRate(), service.Breaker.GetWaitOpenMicros(),
				service.Breaker.GetPermittedHalfOpen(), service.Retry.GetMostTries(), service.Limits.GetCutoffMicros())
		}
		return text.String()
	})
}

// TestExamplesAreValid keeps the shipped examples readable by the validator they are shipped with.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"association", "raahbar", "small"} {
		content, err := examples.Desired(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, fieldErrors := config.Parse(content); len(fieldErrors) > 0 {
			t.Errorf("%s: %v", name, fieldErrors)
		}
	}
}

// scan is what resolving means, without an index: each path tried against the request, the best kept.
func scan(state *wire.DesiredState, host, method, path string) string {
	best, rank := "", -1
	for _, route := range state.Routes {
		under := strings.HasPrefix(path, route.Prefix) && (len(path) == len(route.Prefix) || strings.HasSuffix(route.Prefix, "/") || path[len(route.Prefix)] == '/')
		if !under || route.Host != "" && route.Host != host || route.Method != "" && route.Method != "*" && route.Method != method {
			continue
		}
		own := 2 * len(route.Prefix)
		if route.Host != "" {
			own += 10000
		}
		if route.Method == method {
			own++
		}
		if own > rank {
			best, rank = route.Name, own
		}
	}
	return best
}

// TestResolveFindsWhatAScanFinds compares the table with a plain scan over routes and requests made of few segments, so that
// many of them meet.
func TestResolveFindsWhatAScanFinds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pick := func(words ...string) string { return words[random.IntN(len(words))] }
	made := func() string {
		path := ""
		for range random.IntN(5) {
			path += "/" + pick("a", "b", "ab")
		}
		return path + pick("", "/")
	}
	met := 0
	for range 200 {
		state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}}}}}
		for number := range 30 {
			if prefix := made(); prefix != "" {
				state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("r-", number), Host: pick("", "x", "y"), Method: pick("", "GET", "POST"), Prefix: prefix,
					Class: wire.Path_read, Split: []*wire.Share{{Service: "one", Weight: 1}}})
			}
		}
		snapshot := config.Compile(state, 1, "")
		for range 200 {
			host, method, path := pick("", "x", "y", "z"), pick("GET", "POST", "PUT"), "/"+strings.TrimPrefix(made(), "/")
			found, is := snapshot.Resolve(host, method, path)
			wanted := scan(state, host, method, path)
			if is != (wanted != "") || found.Name != wanted {
				t.Fatalf("%s %s%s: %q, wanted %q of %v", method, host, path, found.Name, wanted, state.Routes)
			}
			if is {
				met++
			}
		}
	}
	if met < 10000 {
		t.Errorf("only %d requests found a route", met)
	}
}

// TestPicksByWeight counts whom a split leads to.
func TestPicksByWeight(t *testing.T) {
	state, fieldErrors := config.Parse([]byte(`{"groups":[{"name":"field","services":[{"name":"one"},{"name":"two"},{"name":"three"}]}],
"routes":[{"name":"r","prefix":"/","class":"read","split":[{"service":"one","weight":90},{"service":"two","weight":0},{"service":"three","weight":10}]}]}`))
	if len(fieldErrors) > 0 {
		t.Fatal(fieldErrors)
	}
	path, _ := config.Compile(state, 1, "").Resolve("", "GET", "/")
	random, counts := rand.New(rand.NewPCG(3, 4)), map[string]int{}
	for range 100000 {
		counts[path.PickService(random.Uint64()).Name]++
	}
	if counts["two"] > 0 || counts["one"] < 89000 || counts["one"] > 91000 || counts["one"]+counts["three"] != 100000 {
		t.Error(counts)
	}
}

// BenchmarkResolve shows that what a request costs doesn't go by the number of routes.
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
