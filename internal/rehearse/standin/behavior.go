package standin

import (
	"math/rand/v2"
	"net/http"

	"snowflow/internal/proxy/request"
)

// Behaviors of a backend. Tests and transcripts name them by these values.
const (
	Normal         = ""
	Failing        = "failing"      // responds with status 500
	NoResponse     = "losing"       // executes the request, then closes without a response
	ShortBody      = "short"        // announces more than it sends
	LongBody       = "long"         // sends more than it announces
	NotHTTP        = "garbled"      // sends bytes that are no HTTP
	CloseDelimited = "close_ended"  // sends a body that only the connection's end delimits
	NotExecuted    = "not_executed" // responds that it did not execute the request
	Slow           = "slow"         // takes slowTime longer
	Mixed          = "mixed"        // any of mixedBehaviors, for each request anew
)

var mixedBehaviors = []string{Normal, Normal, Normal, Failing, NoResponse, ShortBody, LongBody, NotHTTP, CloseDelimited, NotExecuted}

// chooseBehavior is the backend's behavior for one request.
func (b *Backend) chooseBehavior() string {
	behavior := b.Behavior.Load()
	if behavior == Mixed {
		return mixedBehaviors[rand.IntN(len(mixedBehaviors))]
	}
	return behavior
}

// misbehaviors send the responses of those behaviors that do not respond normally in the end.
var misbehaviors = map[string]func(writer http.ResponseWriter, attempt string){
	Failing: func(writer http.ResponseWriter, _ string) {
		http.Error(writer, "failing", http.StatusInternalServerError)
	},
	NotExecuted: func(writer http.ResponseWriter, _ string) {
		writer.Header().Set(request.NotExecutedHeader, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	},
	NoResponse: func(writer http.ResponseWriter, _ string) { writeRaw(writer, "") },
	ShortBody: func(writer http.ResponseWriter, attempt string) {
		writeRaw(writer, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n"+EchoHeader+": "+attempt+"\r\n\r\nonly this")
	},
	LongBody: func(writer http.ResponseWriter, attempt string) {
		writeRaw(writer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+EchoHeader+": "+attempt+"\r\n\r\nonlyHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	},
	NotHTTP: func(writer http.ResponseWriter, _ string) {
		writeRaw(writer, "\x00\x01 this is no answer\r\n\r\n")
	},
	CloseDelimited: func(writer http.ResponseWriter, attempt string) {
		writeRaw(writer, "HTTP/1.1 200 OK\r\n"+EchoHeader+": "+attempt+"\r\n\r\nthe end may be missing")
	},
}

// writeRaw writes bytes to the connection itself and closes it. A caller that has gone away already is none of its concern.
func writeRaw(writer http.ResponseWriter, content string) {
	hijacker, supported := writer.(http.Hijacker)
	if !supported {
		return
	}
	connection, buffered, err := hijacker.Hijack()
	if err != nil {
		return
	}
	_, _ = buffered.WriteString(content)
	_ = buffered.Flush()
	_ = connection.Close()
}
