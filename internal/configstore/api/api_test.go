package api_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

const stores = 3

// cluster is a simulated group of configuration stores, and a process outside it that serves the HTTP interface.
type cluster struct {
	world   *world.World
	outside *world.Host
	handler http.Handler
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{world: world.New(1)}
	t.Cleanup(c.world.Close)
	var voters, seeds []string
	for index := range stores {
		voters = append(voters, fmt.Sprintf("store-%d", index+1))
		seeds = append(seeds, fmt.Sprintf("machine-%d:store", index+1))
	}
	for index, name := range voters {
		c.world.Start(c.world.Add(name, seeds[index], fmt.Sprintf("machine-%d", index+1), func(h *world.Host) (host.Handlers, error) {
			return startStore(h, name, voters, seeds)
		}))
	}
	c.world.Start(c.world.Add("outside", "outside", "outside", func(h *world.Host) (host.Handlers, error) {
		resolver := discovery.New(h, nil, seeds)
		h.Go(func() { resolver.Run(300 * monotonic.Millisecond) })
		c.outside = h
		c.handler = api.New(h, resolver, http.NotFoundHandler(), func() any { return "this process" }, config.Parse)
		return host.Handlers{}, nil
	}))
	c.run(20 * monotonic.Second)
	return c
}

func startStore(h *world.Host, name string, voters, seeds []string) (host.Handlers, error) {
	resolver := discovery.New(h, &wire.PeerAddress{Name: name, Address: h.Node().Address, Group: configstore.Group}, seeds)
	resolver.Persist(h.Disk())
	handlers := host.Handlers{}
	resolver.Register(handlers)
	h.Go(func() { resolver.Run(monotonic.Second) })
	server, err := configstore.Open(configstore.Options{Host: h, Resolver: resolver, Name: name, Voters: slices.Clone(voters), Bootstrap: true, HistoryLimit: 2})
	if err != nil {
		return nil, err
	}
	server.Register(handlers)
	server.Start()
	return handlers, nil
}

func (c *cluster) run(duration monotonic.Micros) { c.world.Run(c.world.Now() + duration) }

// serve answers a request, and lets the simulation run for long enough.
func (c *cluster) serve(method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	c.outside.Go(func() {
		c.handler.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader([]byte(body))))
	})
	c.run(30 * monotonic.Second)
	return recorder
}

var (
	// randomID matches the request IDs that the interface makes.
	randomID = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	// storeAddress matches the address of a store, of which any may be the primary.
	storeAddress = regexp.MustCompile(`machine-\d:store`)
)

// TestResponses approves a transcript of the HTTP interface: status, headers and bodies, byte by byte but for random request IDs and
// the primary's address. "request METHOD path=PATH" sends the input as body, in which LONG stands for more than is accepted, and
// "stop" kills all stores but one.
func TestResponses(t *testing.T) {
	c := newCluster(t)
	datadriven.RunTest(t, "testdata/responses", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "stop" {
			for index := range stores - 1 {
				c.world.Kill(c.world.Node(fmt.Sprintf("store-%d", index+1)))
			}
			return ""
		}
		method, path := data.CmdArgs[0].Key, strings.TrimPrefix(data.CmdArgs[1].String(), "path=")
		recorder := c.serve(method, path, strings.ReplaceAll(data.Input, "LONG", strings.Repeat(" ", config.MaxContentSize+1)))
		text := fmt.Sprintf("%d %s\n", recorder.Code, recorder.Header().Get("Content-Type"))
		if retryAfter := recorder.Header().Get("Retry-After"); retryAfter != "" {
			text += "Retry-After: " + retryAfter + "\n"
		}
		body := randomID.ReplaceAllString(recorder.Body.String(), "RANDOM")
		return text + storeAddress.ReplaceAllString(body, "ADDRESS")
	})
}
