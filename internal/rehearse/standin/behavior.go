package standin

import (
	"math/rand/v2"
	"net/http"

	"snowflow/internal/proxy/request"
)

// Behaviors of a backend. Tests and transcripts use these values.
const (
	Normal         = ""
	Failing        = "failing"      // responds with status 500
	NoResponse     = "losing"       // executes the request, then closes the connection without a response
	ShortBody      = "short"        // sends a body that is shorter than its Content-Length
	LongBody       = "long"         // sends a body that is longer than its Content-Length
	NotHTTP        = "garbled"      // sends bytes that are not HTTP
	CloseDelimited = "close_ended"  // sends a body without Content-Length, delimited only by the end of the connection
	NotExecuted    = "not_executed" // responds that it did not execute the request
	Slow           = "slow"         // delays the response by slowDelay
	Mixed          = "mixed"        // picks one of mixedBehaviors at random for each request
)

var mixedBehaviors = []string{Normal, Normal, Normal, Failing, NoResponse, ShortBody, LongBody, NotHTTP, CloseDelimited, NotExecuted}

// chooseBehavior returns the backend's behavior for one request.
func (b *Backend) chooseBehavior() string {
	behavior := b.Behavior.Load()
	if behavior == Mixed {
		return mixedBehaviors[rand.IntN(len(mixedBehaviors))]
	}
	return behavior
}

// faultyResponses contains the functions that send the faulty response of a behavior. Other behaviors end in a normal response.
var faultyResponses = map[string]func(writer http.ResponseWriter, attempt string){
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

// writeRaw writes bytes directly to the connection and closes it. It ignores errors, since the peer may have disconnected.
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
