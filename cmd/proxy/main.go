// Proxy runs the sidecar proxy beside each caller and each server. It forwards the requests of its callers, and admits requests to the
// backends on its machine.
package main

import (
	"context"

	"snowflow/internal/daemon"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/backendapi"
	"snowflow/internal/proxy/ingress"
	"snowflow/internal/proxy/upstream"
	"snowflow/internal/settings"
)

func main() {
	daemon.Main(daemon.Command("proxy", "the sidecar proxy beside each caller and each server", settings.ProxyFields(), "", build))
}

// build creates the proxy from its settings, and adds its request handlers, metrics and HTTP listeners to the program.
func build(program *daemon.Daemon) error {
	metrics := daemon.NewRequestCounters(program.MetricsRegistry)
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
		WaitForReplies:     program.Host.WaitForReplies,
	})
	sidecar.Register(program.Handlers)
	program.AddGauges(gauges(sidecar))
	program.MetricsRegistry.MustRegister(daemon.NewTenantCollector(sidecar.Forwarder.Tenants, sidecar.ConfigClient.KeyLease))
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
		// Shutdown closes the listener at once, and then waits for connections to become idle. That wait runs in the background, since
		// Drain itself waits for the requests.
		closeCallers := func() { go func() { _ = callers.Shutdown(context.Background()) }() }
		sidecar.Drain(program.Settings.Duration("grace"), closeCallers)
	}
	return nil
}

// gauges returns the proxy's own gauges. Their names keep former terms because operators' queries depend on them.
func gauges(sidecar *proxy.Proxy) []daemon.Gauge {
	return []daemon.Gauge{
		{Name: "snowflow_requests_running", Help: "Callers' requests in flight.",
			Read: func() float64 { return float64(sidecar.Forwarder.InFlight()) }},
		{Name: "snowflow_passes_running", Help: "Requests in flight that other proxies forwarded to this one.",
			Read: func() float64 { return float64(sidecar.Admission.InFlight()) }},
		{Name: "snowflow_backends_ejected", Help: "Backends on this machine that are ejected and admit only probes, for all callers or for those of a domain.",
			Read: sidecar.LocalBackends.EjectedCount},
		{Name: "snowflow_desired_serial", Help: "The version of the adopted configuration.",
			Read: func() float64 { version, _ := sidecar.ConfigClient.Version(); return float64(version) }},
	}
}
