// Package backendapi implements the HTTP API of a proxy for the backends on its host, the platform and operators: registration and
// heartbeats of backends, leases on singleton roles, readiness, status, metrics, and the manual control of circuit breakers.
package backendapi

import (
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/localbackends"
)

// api serves the requests.
type api struct {
	host  host.Host
	proxy *proxy.Proxy
	stop  func()
}

// New returns the handler of the API. The metrics handler serves /metrics. The stop function starts to drain the proxy and must return at
// once.
//
// Some paths keep former names, since they are part of the API: a beat is a heartbeat, a duty is a singleton role, and a guard is
// the circuit breaker of a service.
func New(h host.Host, p *proxy.Proxy, metrics http.Handler, stop func()) http.Handler {
	a := &api{host: h, proxy: p, stop: stop}
	router := chi.NewRouter()
	router.Post("/backends", a.register)
	router.Post("/backends/{instance}/beat", a.heartbeat)
	router.Post("/backends/{instance}/leave", a.leave)
	router.Post("/duties/{duty}", a.acquireRole)
	router.Post("/duties/{duty}/release", a.releaseRole)
	router.Get("/ready", a.ready)
	router.Get("/live", func(writer http.ResponseWriter, _ *http.Request) { WriteJSON(writer, http.StatusOK, live) })
	router.Get("/status", func(writer http.ResponseWriter, _ *http.Request) { WriteJSON(writer, http.StatusOK, p.Status()) })
	router.Post("/drain", a.drain)
	router.Get("/guards", a.breakers)
	router.Post("/guards/{service}/{control}", a.controlBreaker)
	router.Handle("/metrics", metrics)
	router.Mount("/debug", middleware.Profiler())
	return router
}

func (a *api) register(writer http.ResponseWriter, incoming *http.Request) {
	body := registerRequest{Condition: localbackends.Alive}
	if err := ReadJSON(writer, incoming, &body); err != nil {
		WriteError(writer, err)
		return
	}
	if body.Instance == "" {
		body.Instance = localbackends.NewInstanceID(a.host)
	}
	backend := localbackends.Backend{Service: body.Service, Instance: body.Instance, Address: body.Address}
	if err := a.proxy.RegisterBackend(backend, body.Condition); err != nil {
		WriteError(writer, err)
		return
	}
	WriteJSON(writer, http.StatusCreated, registerResponse{Instance: body.Instance, HeartbeatMicros: int64(localbackends.HeartbeatInterval)})
}

func (a *api) heartbeat(writer http.ResponseWriter, incoming *http.Request) {
	body := heartbeatRequest{Condition: localbackends.Alive}
	if incoming.ContentLength != 0 {
		if err := ReadJSON(writer, incoming, &body); err != nil {
			WriteError(writer, err)
			return
		}
	}
	writeAcknowledgement(writer, a.proxy.Heartbeat(chi.URLParam(incoming, "instance"), body.Condition))
}

func (a *api) leave(writer http.ResponseWriter, incoming *http.Request) {
	writeAcknowledgement(writer, a.proxy.Heartbeat(chi.URLParam(incoming, "instance"), localbackends.Leaving))
}

func (a *api) acquireRole(writer http.ResponseWriter, incoming *http.Request) {
	body := leaseRequest{}
	if err := ReadJSON(writer, incoming, &body); err != nil {
		WriteError(writer, err)
		return
	}
	grant, err := a.proxy.Singleton.Acquire(chi.URLParam(incoming, "duty"), body.Instance, monotonic.Micros(body.Length))
	if err != nil {
		WriteError(writer, err)
		return
	}
	WriteJSON(writer, http.StatusOK, grant)
}

func (a *api) releaseRole(writer http.ResponseWriter, incoming *http.Request) {
	body := leaseRequest{}
	if err := ReadJSON(writer, incoming, &body); err != nil {
		WriteError(writer, err)
		return
	}
	writeAcknowledgement(writer, a.proxy.Singleton.Release(chi.URLParam(incoming, "duty"), body.Instance))
}

func (a *api) ready(writer http.ResponseWriter, _ *http.Request) {
	ready, reason := a.proxy.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	WriteJSON(writer, status, readyResponse{Ready: ready, Reason: reason})
}

func (a *api) drain(writer http.ResponseWriter, _ *http.Request) {
	a.stop()
	WriteJSON(writer, http.StatusOK, draining)
}

func (a *api) breakers(writer http.ResponseWriter, _ *http.Request) {
	WriteJSON(writer, http.StatusOK, a.proxy.Breakers.Statuses())
}

func (a *api) controlBreaker(writer http.ResponseWriter, incoming *http.Request) {
	if err := a.proxy.Breakers.SetControl(chi.URLParam(incoming, "service"), chi.URLParam(incoming, "control")); err != nil {
		WriteError(writer, err)
		return
	}
	WriteJSON(writer, http.StatusOK, a.proxy.Breakers.Statuses())
}
