// Package ingress is the HTTP endpoint at which a proxy takes its callers' requests. It reads each request completely, has it
// forwarded, and writes the backend's response, or the mesh's own error with its cause and verdict in a JSON body.
//
// The package holds no state. Requests are forwarded on the HTTP server's goroutines.
package ingress
