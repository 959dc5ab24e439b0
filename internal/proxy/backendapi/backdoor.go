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

type registration struct {
	Service   string `json:"service"`
	Instance  string `json:"instance"`
	Address   string `json:"address"`
	Condition string `json:"condition"`
}

type registered struct {
	Instance   string `json:"instance"`
	BeatMicros int64  `json:"beat_micros"`
}

type dutyAsk struct {
	Instance string `json:"instance"`
	Length   int64  `json:"length_micros"`
}

type beat struct {
	Condition string `json:"condition"`
}

// Write answers with JSON.
func Write(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// Complain answers with an error's text.
func Complain(writer http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if apierror.IsRefused(err) {
		status = http.StatusNotFound
	} else if apierror.IsLost(err) {
		status = http.StatusServiceUnavailable
	}
	Write(writer, status, map[string]string{"error": err.Error()})
}

// Read takes a JSON body without unknown fields.
func Read(writer http.ResponseWriter, incoming *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, incoming.Body, 64<<10))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return apierror.Invalid.Wrap(err, "unreadable body")
	}
	return nil
}

// New makes the door's handler. stop begins a planned stop.
func New(place host.Host, carrier *proxy.Carrier, metrics http.Handler, stop func()) http.Handler {
	router := chi.NewRouter()
	router.Post("/backends", func(writer http.ResponseWriter, incoming *http.Request) {
		told := registration{Condition: localbackends.Alive}
		if err := Read(writer, incoming, &told); err != nil {
			Complain(writer, err)
			return
		}
		if told.Instance == "" {
			told.Instance = localbackends.NewInstance(place)
		}
		if err := carrier.Hutch.Register(localbackends.Backend{Service: told.Service, Instance: told.Instance, Address: told.Address}, told.Condition); err != nil {
			Complain(writer, err)
			return
		}
		Write(writer, http.StatusCreated, registered{Instance: told.Instance, BeatMicros: int64(localbackends.BeatEvery)})
	})
	router.Post("/backends/{instance}/beat", func(writer http.ResponseWriter, incoming *http.Request) {
		told := beat{Condition: localbackends.Alive}
		if incoming.ContentLength != 0 {
			if err := Read(writer, incoming, &told); err != nil {
				Complain(writer, err)
				return
			}
		}
		answerBeat(writer, carrier.Hutch.Beat(chi.URLParam(incoming, "instance"), told.Condition))
	})
	router.Post("/backends/{instance}/leave", func(writer http.ResponseWriter, incoming *http.Request) {
		answerBeat(writer, carrier.Hutch.Beat(chi.URLParam(incoming, "instance"), localbackends.Leaving))
	})
	router.Post("/duties/{duty}", func(writer http.ResponseWriter, incoming *http.Request) {
		ask := dutyAsk{}
		if err := Read(writer, incoming, &ask); err != nil {
			Complain(writer, err)
			return
		}
		told, err := carrier.Rota.Ask(chi.URLParam(incoming, "duty"), ask.Instance, monotonic.Micros(ask.Length))
		if err != nil {
			Complain(writer, err)
			return
		}
		Write(writer, http.StatusOK, told)
	})
	router.Post("/duties/{duty}/release", func(writer http.ResponseWriter, incoming *http.Request) {
		ask := dutyAsk{}
		if err := Read(writer, incoming, &ask); err != nil {
			Complain(writer, err)
			return
		}
		answerBeat(writer, carrier.Rota.Release(chi.URLParam(incoming, "duty"), ask.Instance))
	})
	router.Get("/ready", func(writer http.ResponseWriter, _ *http.Request) {
		ready, why := carrier.Ready()
		code := http.StatusOK
		if !ready {
			code = http.StatusServiceUnavailable
		}
		Write(writer, code, map[string]any{"ready": ready, "why": why})
	})
	router.Get("/live", func(writer http.ResponseWriter, _ *http.Request) {
		Write(writer, http.StatusOK, map[string]bool{"live": true})
	})
	router.Get("/status", func(writer http.ResponseWriter, _ *http.Request) { Write(writer, http.StatusOK, carrier.Status()) })
	router.Post("/drain", func(writer http.ResponseWriter, _ *http.Request) {
		stop()
		Write(writer, http.StatusOK, map[string]bool{"draining": true})
	})
	router.Get("/guards", func(writer http.ResponseWriter, _ *http.Request) {
		Write(writer, http.StatusOK, carrier.Wicket.Statuses())
	})
	router.Post("/guards/{service}/{control}", func(writer http.ResponseWriter, incoming *http.Request) {
		if err := carrier.Wicket.SetControl(chi.URLParam(incoming, "service"), chi.URLParam(incoming, "control")); err != nil {
			Complain(writer, err)
			return
		}
		Write(writer, http.StatusOK, carrier.Wicket.Statuses())
	})
	router.Handle("/metrics", metrics)
	router.Mount("/debug", middleware.Profiler())
	return router
}

func answerBeat(writer http.ResponseWriter, err error) {
	if err != nil {
		Complain(writer, err)
		return
	}
	Write(writer, http.StatusOK, map[string]bool{"noted": true})
}
