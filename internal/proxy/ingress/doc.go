// Package ingress implements the HTTP endpoint that a proxy offers to callers. It reads each request completely, has it forwarded,
// and writes the backend's response, or an error of the mesh with its cause and verdict in a JSON body.
//
// The package holds no state. Requests are forwarded on the HTTP server's goroutines.
package ingress
