// Proxy is the sidecar proxy on each host. It takes the requests of the host's callers, forwards them to the proxies of other hosts,
// and sends what is forwarded to it to the host's own backends.
package main

import (
	"context"
	"net/http"

	"snowflow/internal/daemon"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/backendapi"
	"snowflow/internal/proxy/ingress"
	"snowflow/internal/proxy/upstream"
	"snowflow/internal/settings"
)

func main() {
	daemon.Main(daemon.Command("proxy", "the proxy beside each caller and each backend", settings.ProxyFields(), "", build))
}

// build puts the proxy together. The proxy is a member of no control plane group.
func build(program *daemon.Daemon) error {
	metrics := daemon.NewRequestCounters(program.Registry)
	sidecar := proxy.New(proxy.Options{
		Host:               program.Host,
		Resolver:           program.Resolver,
		Name:               program.Settings["name"],
		Domain:             program.Settings["domain"],
		Address:            program.Settings["advertise"],
		IgnoreDomains:      program.Settings["balance"] == settings.BalanceUniform,
		CrossDomainPenalty: monotonic.Micros(program.Settings.Int("far-penalty")),
		Upstream:           upstream.New(program.Host, upstream.DefaultDialect()),
		OnFinished:         metrics.CountRequest,
	})
	sidecar.Register(program.Handlers)
	program.AddGauges(gauges(sidecar))
	admin := backendapi.New(program.Host, sidecar, program.Metrics(), program.Stop)
	if err := program.ServeHTTP(program.Settings["http"], ingress.NewServer(admin)); err != nil {
		return err
	}
	callers := ingress.NewServer(ingress.New(sidecar, program.Host))
	if err := program.ServeHTTP(program.Settings["callers"], callers); err != nil {
		return err
	}
	sidecar.Start()
	program.Drain = func() {
		sidecar.Drain(program.Settings.Duration("grace"), func() { go shutDown(callers) })
	}
	return nil
}

// shutDown closes a server's listener and waits for its requests.
func shutDown(server *http.Server) { _ = server.Shutdown(context.Background()) }

// gauges are the proxy's own metrics. Their names are documented.
func gauges(sidecar *proxy.Proxy) []daemon.Gauge {
	return []daemon.Gauge{
		{Name: "snowflow_requests_running", Help: "Callers' requests in flight.", Read: func() float64 { return float64(sidecar.Forwarder.InFlight()) }},
		{Name: "snowflow_passes_running", Help: "Requests in flight that other proxies have forwarded.", Read: func() float64 { return float64(sidecar.Admission.InFlight()) }},
		{Name: "snowflow_backends_ejected", Help: "Backends on this host that are ejected, for all callers or for those of a zone; they get probes only.", Read: sidecar.LocalBackends.Ejected},
		{Name: "snowflow_desired_serial", Help: "Version of the desired state that the proxy serves by.", Read: func() float64 {
			version, _ := sidecar.ConfigClient.Version()
			return float64(version)
		}},
	}
}
