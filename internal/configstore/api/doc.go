// Package api is the configuration store's HTTP interface for operators, and the Store by which any process applies and reads
// configurations, wherever the primary is.
//
// Every configuration store process serves it. What needs the primary is forwarded to it, so that operators may use any of them:
//
//	PUT  /desired-state?expected=VERSION|any[&request=ID]  apply a configuration
//	POST /desired-state/check                              validate a configuration
//	GET  /desired-state[/VERSION]                          read a version, the newest by default
//	GET  /history                                          list the stored versions
//	GET  /changes[?from=VERSION][&to=VERSION]              compare two versions
//	POST /changes                                          compare a configuration with the newest version
//	GET  /status                                           all control-plane processes, as they describe themselves
//	GET  /local, /live, /ready, /metrics                   this process
//
// The paths, parameters, JSON fields and error texts are the documented interface and stay as they are.
package api
