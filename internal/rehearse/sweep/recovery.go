package sweep

import (
	"sync"
	"time"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/transport/wire"
)

// readAttemptTimeout limits one attempt to read the configurations, as the primary may have been killed.
const readAttemptTimeout = 300 * monotonic.Millisecond

// measureRecovery kills both primaries at once and records how long claims, reads and changes fail. Then it stops all proxies, waits
// until their sessions have expired and restarts all proxies at once. It does nothing unless options.Failures is set.
func (m *measurement) measureRecovery() error {
	if !m.options.Failures {
		return nil
	}
	result := &RecoveryTimes{TimeoutSeconds: m.options.Timeout.Seconds()}
	m.run.Recovery = result
	killed, err := m.killPrimaries()
	if err != nil {
		return err
	}
	m.measureOutage(result)
	for _, process := range killed {
		if err := m.fleet.Start(process, ""); err != nil {
			return err
		}
	}
	if err := fleet.AwaitReady(killed, m.options.Timeout); err != nil {
		return err
	}
	m.pool.StopAll()
	time.Sleep(directory.SessionTimeout.Duration() + time.Second) // until all sessions have expired
	return m.measureMassRestart(result)
}

// killPrimaries kills the primaries of both replication groups at once and returns their processes.
func (m *measurement) killPrimaries() (killed []*fleet.Process, err error) {
	statuses, err := m.awaitPrimaries()
	if err != nil {
		return nil, err
	}
	for _, process := range m.fleet.ControlPlane() {
		if statuses[process.Program].Primary == process.Name {
			killed = append(killed, process)
		}
	}
	for _, process := range killed {
		process.Kill()
	}
	return killed, nil
}

// measureOutage records how long it takes until a claim, a read and a change succeed again. It records nothing for those that have not
// succeeded by the timeout.
func (m *measurement) measureOutage(result *RecoveryTimes) {
	started := time.Now()
	var work sync.WaitGroup
	for seconds, request := range map[**float64]func() error{&result.Claims: m.awaitClaim, &result.Reads: m.awaitRead, &result.Applies: m.awaitApply} {
		work.Add(1)
		go func() {
			defer work.Done()
			if request() == nil {
				elapsed := time.Since(started).Seconds()
				*seconds = &elapsed
			}
		}()
	}
	work.Wait()
}

// awaitClaim claims an idempotency key and retries until the registry responds or the timeout has passed.
func (m *measurement) awaitClaim() error {
	_, err := m.pool.Claim(0, "service/after", monotonic.FromDuration(m.options.Timeout))
	return err
}

// awaitRead lists the configurations and retries until that succeeds or the timeout has passed.
func (m *measurement) awaitRead() error {
	return m.callPrimary(configStoreGroup, m.options.Timeout, func(name string, timeLeft monotonic.Micros) error {
		return m.resolver.Call(name, wire.Kind_config_read, &wire.ConfigReadRequest{List: true}, &wire.ConfigReadResponse{}, min(timeLeft, readAttemptTimeout))
	})
}

// awaitApply applies a configuration and retries until that succeeds or the timeout has passed.
func (m *measurement) awaitApply() error {
	_, _, err := m.apply(m.options.Timeout)
	return err
}

// measureMassRestart starts all proxies at once. It records how long it takes until all are ready and until each knows all others, and
// how many bytes each proxy exchanges meanwhile.
func (m *measurement) measureMassRestart(result *RecoveryTimes) error {
	exchangedBytes := func() (total float64) {
		for _, messages := range m.pool.MessageCounts() {
			total += float64(messages.SentBytes + messages.ReceivedBytes)
		}
		return total
	}
	before, started := exchangedBytes(), time.Now()
	if err := m.pool.StartAll(0); err != nil {
		return err
	}
	for _, target := range []struct {
		seconds **float64
		count   func() int
	}{{&result.Ready, m.pool.ReadyCount}, {&result.Complete, m.pool.CompleteDirectoryCount}} {
		if reached := pollUntil(m.options.Timeout-time.Since(started), m.countsAllProxies(target.count)); reached {
			elapsed := time.Since(started).Seconds()
			*target.seconds = &elapsed
		}
	}
	result.Bytes = (exchangedBytes() - before) / float64(m.size.Proxies)
	return nil
}
