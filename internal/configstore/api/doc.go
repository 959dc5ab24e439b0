// Package api is the configuration store's HTTP interface for operators, and the Store with which any process applies and reads
// configurations without having to know the primary.
//
// Every configuration store process serves the interface. Requests that need the primary are forwarded to it, so operators may use any
// of the processes:
//
//	PUT  /desired-state?expected=VERSION|any[&request=ID]  apply a configuration
//	POST /desired-state/check                              validate a configuration
//	GET  /desired-state[/VERSION]                          read a version, the newest by default
//	GET  /history                                          list the stored versions
//	GET  /changes[?from=VERSION][&to=VERSION]              compare two versions
//	POST /changes                                          compare a configuration with the newest version
//	GET  /tenants                                          list the tenants of the newest version
//	GET  /status                                           show the status of all control-plane processes
//	GET  /local, /live, /ready, /metrics                   show the status, health and metrics of this process
//
// The paths, parameters, JSON fields and error texts are the documented interface and must not change.
package api
