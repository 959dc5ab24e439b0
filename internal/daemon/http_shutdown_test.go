package daemon

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// TestServersShutDownTogether guards against a graceful shutdown that exceeds its time limit and is killed, because the servers wait
// one after the other for their running requests. Here each request runs until all servers have begun to shut down, so that requests
// are cut off if the servers shut down one after the other.
func TestServersShutDownTogether(t *testing.T) {
	const count = 4
	var begun, running sync.WaitGroup
	begun.Add(count)
	running.Add(count)
	var servers []*http.Server
	results := make(chan error, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			running.Done()
			begun.Wait()
			_, _ = io.WriteString(writer, "done")
		})}
		server.RegisterOnShutdown(begun.Done)
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
		go func() {
			response, err := http.Get("http://" + listener.Addr().String())
			if err == nil {
				err = response.Body.Close()
			}
			results <- err
		}()
	}
	running.Wait()
	shutdownAll(servers)
	for range count {
		if err := <-results; err != nil {
			t.Errorf("a request was cut off: %v", err)
		}
	}
}
