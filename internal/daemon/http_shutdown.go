package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// httpShutdownTimeout is how long a graceful shutdown waits at most for HTTP requests.
const httpShutdownTimeout = 250 * time.Millisecond

// shutdownAll shuts HTTP servers down concurrently, so that together they take no longer than one: a graceful shutdown has a fixed
// time limit. Requests that are still running after httpShutdownTimeout are cut off.
func shutdownAll(servers []*http.Server) {
	limit, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	var ended sync.WaitGroup
	for _, server := range servers {
		ended.Go(func() {
			_ = server.Shutdown(limit)
			_ = server.Close()
		})
	}
	ended.Wait()
}
