package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// httpShutdownTimeout bounds how long a planned stop waits for HTTP requests.
const httpShutdownTimeout = 250 * time.Millisecond

// shutdownAll shuts HTTP servers down at the same time, so that together they take no longer than one: a planned stop has a fixed time.
// Requests that are still running after httpShutdownTimeout are cut.
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
