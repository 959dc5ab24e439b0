package transcript

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"

	"snowflow/internal/proxy/upstream"
)

// fakeBackend is a scripted backend. It serves the identity page, and sends its response to every other request. It closes the
// connection after the response unless keepAlive is set.
type fakeBackend struct {
	listener      net.Listener
	identity      string
	response      string // the raw response, in which idPlaceholder stands for the request's id
	idHeader      string // name of the request header that contains the id
	keepAlive     bool
	duplicates    int // how often each response is repeated before the next response on its connection
	formatHeaders func(request *http.Request) string
	requestLines  chan string // a description of each received request
}

// serve accepts connections until the listener is closed.
func (b *fakeBackend) serve() {
	for number := 1; ; number++ {
		connection, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConnection(connection, number)
	}
}

func (b *fakeBackend) serveConnection(connection net.Conn, number int) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	previous := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		if request.URL.Path == upstream.IdentityPath {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b.identity), b.identity)
			continue
		}
		line := fmt.Sprintf("%s %s on connection %d", request.Method, request.RequestURI, number)
		if len(body) > 0 {
			line += fmt.Sprintf(" with %q", body)
		}
		b.requestLines <- line + b.formatHeaders(request)
		response := strings.ReplaceAll(b.response, idPlaceholder, request.Header.Get(b.idHeader))
		_, _ = io.WriteString(connection, previous+response)
		if !b.keepAlive {
			return
		}
		previous = strings.Repeat(response, b.duplicates)
	}
}

// headerFormatter returns a function that formats the headers of a request, or returns an empty string if they are not shown.
func (s *Suite) headerFormatter(shown bool) func(request *http.Request) string {
	return func(request *http.Request) string {
		if !shown {
			return ""
		}
		lines := []string{"  Host: " + request.Host}
		for name, values := range request.Header {
			for _, value := range values {
				if slices.Contains(s.VaryingHeaders, name) {
					value = "..."
				}
				lines = append(lines, "  "+name+": "+value)
			}
		}
		slices.Sort(lines)
		return "\n" + strings.Join(lines, "\n")
	}
}
