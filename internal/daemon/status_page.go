package daemon

import (
	"encoding/json"
	"net/http"
)

// StatusPage returns a handler that responds with the current status as JSON.
func StatusPage(status func() any) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(status())
	})
}
