// Package backendapi is the HTTP door for the machine's own backends and for the platform: registration, beats, leaving,
// readiness, status, metrics and the guards' manual controls.
package backendapi

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/localbackends"
)

type registerRequest struct {
	Service   string `json:"service"`
	Instance  string `json:"instance"`
	Address   string `json:"address"`
	Condition string `json:"condition"`
}

type registerResponse struct {
	Instance        string `json:"instance"`
	HeartbeatMicros int64  `json:"beat_micros"`
}

type leaseRequest struct {
	Instance string `json:"instance"`
	Length   int64  `json:"length_micros"`
}

type heartbeatRequest struct {
	Condition string `json:"condition"`
}

// WriteJSON answers with JSON.
func WriteJSON(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// WriteError answers with an error's text.
func WriteError(writer http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if apierror.IsRefused(err) {
		status = http.StatusNotFound
	} else if apierror.IsLost(err) {
		status = http.StatusServiceUnavailable
	}
	WriteJSON(writer, status, map[string]string{"error": err.Error()})
}

// ReadJSON takes a JSON body without unknown fields.
func ReadJSON(writer http.ResponseWriter, incoming *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, incoming.Body, 64<<10))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return apierror.Invalid.Wrap(err, "unreadable body")
	}
	return nil
}

// New makes the door's handler. stop begins a planned stop.
func New(h host.Host, p *proxy.Proxy, metrics http.Handler, stop func()) http.Handler {
	router := chi.NewRouter()
	router.Post("/backends", func(writer http.ResponseWriter, incoming *http.Request) {
		body := registerRequest{Condition: localbackends.Alive}
		if err := ReadJSON(writer, incoming, &body); err != nil {
			WriteError(writer, err)
			return
		}
		if body.Instance == "" {
			body.Instance = localbackends.NewInstanceID(h)
		}
		if err := p.LocalBackends.Register(localbackends.Backend{Service: body.Service, Instance: body.Instance, Address: body.Address}, body.Condition); err != nil {
			WriteError(writer, err)
			return
		}
		WriteJSON(writer, http.StatusCreated, registerResponse{Instance: body.Instance, HeartbeatMicros: int64(localbackends.HeartbeatInterval)})
	})
	router.Post("/backends/{instance}/beat", func(writer http.ResponseWriter, incoming *http.Request) {
		body := heartbeatRequest{Condition: localbackends.Alive}
		if incoming.ContentLength != 0 {
			if err := ReadJSON(writer, incoming, &body); err != nil {
				WriteError(writer, err)
				return
			}
		}
		writeNoted(writer, p.LocalBackends.Heartbeat(chi.URLParam(incoming, "instance"), body.Condition))
	})
	router.Post("/backends/{instance}/leave", func(writer http.ResponseWriter, incoming *http.Request) {
		writeNoted(writer, p.LocalBackends.Heartbeat(chi.URLParam(incoming, "instance"), localbackends.Leaving))
	})
	router.Post("/duties/{duty}", func(writer http.ResponseWriter, incoming *http.Request) {
		request := leaseRequest{}
		if err := ReadJSON(writer, incoming, &request); err != nil {
			WriteError(writer, err)
			return
		}
		body, err := p.Singleton.Acquire(chi.URLParam(incoming, "duty"), request.Instance, monotonic.Micros(request.Length))
		if err != nil {
			WriteError(writer, err)
			return
		}
		WriteJSON(writer, http.StatusOK, body)
	})
	router.Post("/duties/{duty}/release", func(writer http.ResponseWriter, incoming *http.Request) {
		request := leaseRequest{}
		if err := ReadJSON(writer, incoming, &request); err != nil {
			WriteError(writer, err)
			return
		}
		writeNoted(writer, p.Singleton.Release(chi.URLParam(incoming, "duty"), request.Instance))
	})
	router.Get("/ready", func(writer http.ResponseWriter, _ *http.Request) {
		ready, reason := p.Ready()
		code := http.StatusOK
		if !ready {
			code = http.StatusServiceUnavailable
		}
		WriteJSON(writer, code, map[string]any{"ready": ready, "why": reason})
	})
	router.Get("/live", func(writer http.ResponseWriter, _ *http.Request) {
		WriteJSON(writer, http.StatusOK, map[string]bool{"live": true})
	})
	router.Get("/status", func(writer http.ResponseWriter, _ *http.Request) { WriteJSON(writer, http.StatusOK, p.Status()) })
	router.Post("/drain", func(writer http.ResponseWriter, _ *http.Request) {
		stop()
		WriteJSON(writer, http.StatusOK, map[string]bool{"draining": true})
	})
	router.Get("/guards", func(writer http.ResponseWriter, _ *http.Request) {
		WriteJSON(writer, http.StatusOK, p.Breaker.Statuses())
	})
	router.Post("/guards/{service}/{control}", func(writer http.ResponseWriter, incoming *http.Request) {
		if err := p.Breaker.SetControl(chi.URLParam(incoming, "service"), chi.URLParam(incoming, "control")); err != nil {
			WriteError(writer, err)
			return
		}
		WriteJSON(writer, http.StatusOK, p.Breaker.Statuses())
	})
	router.Handle("/metrics", metrics)
	router.Mount("/debug", middleware.Profiler())
	return router
}

func writeNoted(writer http.ResponseWriter, err error) {
	if err != nil {
		WriteError(writer, err)
		return
	}
	WriteJSON(writer, http.StatusOK, map[string]bool{"noted": true})
}
